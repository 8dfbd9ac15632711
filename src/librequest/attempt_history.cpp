#include "redwingwheel/attempt_history.h"

namespace redwingwheel::request {

attempt_history::attempt_history(history_options chosen, clock_function clock_source)
    : options(chosen), clock(std::move(clock_source))
{
}

void attempt_history::add(attempt_id attempt, bool claimed, end_kind kind)
{
    this->remove_expired();
    // Refused claimed attempts may fill the table to twice its limit: while new claimed work is
    // refused, each refusal must still prevent the start of a late duplicate.
    if (claimed && this->claimed_order.size() >= 2 * this->options.max_claimed) {
        return;
    }
    if (!this->end_kinds.emplace(attempt, kind).second) {
        return;
    }
    if (claimed) {
        this->claimed_order.push_back(
            entry{attempt, this->clock() + this->options.claimed_retention});
        return;
    }
    this->idempotent_order.push_back(attempt);
    if (this->idempotent_order.size() > this->options.max_idempotent) {
        this->end_kinds.erase(this->idempotent_order.front());
        this->idempotent_order.pop_front();
    }
}

void attempt_history::remove_expired()
{
    const steady_time now = this->clock();
    while (!this->claimed_order.empty() && this->claimed_order.front().expires_at <= now) {
        this->end_kinds.erase(this->claimed_order.front().attempt);
        this->claimed_order.pop_front();
    }
}

void attempt_history::store_answer(const answer& stored)
{
    if (!this->answers.emplace(stored.attempt, stored).second) {
        return;
    }
    this->answer_order.push_back(stored.attempt);
    this->answer_bytes += stored.body.size();
    // The newest answer is kept even when it alone exceeds the limit.
    while (this->answer_bytes > this->options.max_answer_bytes && this->answer_order.size() > 1) {
        const auto oldest = this->answers.find(this->answer_order.front());
        this->answer_bytes -= oldest->second.body.size();
        this->answers.erase(oldest);
        this->answer_order.pop_front();
    }
}

std::optional<end_kind> attempt_history::find(attempt_id attempt) const
{
    const auto found = this->end_kinds.find(attempt);
    if (found == this->end_kinds.end()) {
        return std::nullopt;
    }
    return found->second;
}

const answer* attempt_history::find_answer(attempt_id attempt) const
{
    const auto found = this->answers.find(attempt);
    return found == this->answers.end() ? nullptr : &found->second;
}

bool attempt_history::claimed_full() const
{
    return this->claimed_order.size() >= this->options.max_claimed &&
           this->claimed_order.front().expires_at > this->clock();
}

} // namespace redwingwheel::request
