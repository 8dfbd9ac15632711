#include "redwingwheel/attempt_history.h"

namespace redwingwheel::request {

attempt_history::attempt_history(history_options chosen, clock_function clock_source)
    : options(chosen), clock(std::move(clock_source))
{
}

void attempt_history::add(attempt_id attempt, bool claimed, end_kind how)
{
    this->remove_expired();
    // Refused claimed attempts may take the table to twice its bound, so that a refusal still bars
    // a late duplicate while new claimed work is no longer taken.
    if (claimed && this->claimed_order.size() >= 2 * this->options.max_claimed) {
        return;
    }
    if (!this->known.emplace(attempt, how).second) {
        return;
    }
    if (claimed) {
        this->claimed_order.push_back(
            entry{attempt, this->clock() + this->options.claimed_retention});
        return;
    }
    this->idempotent_order.push_back(attempt);
    if (this->idempotent_order.size() > this->options.max_idempotent) {
        this->known.erase(this->idempotent_order.front());
        this->idempotent_order.pop_front();
    }
}

void attempt_history::remove_expired()
{
    const steady_time now = this->clock();
    while (!this->claimed_order.empty() && this->claimed_order.front().expires_at <= now) {
        this->known.erase(this->claimed_order.front().attempt);
        this->claimed_order.pop_front();
    }
}

void attempt_history::store_answer(const answer& kept)
{
    if (!this->answers.emplace(kept.attempt, kept).second) {
        return;
    }
    this->answer_order.push_back(kept.attempt);
    this->answer_bytes += kept.body.size();
    // The newest answer stays even when it alone is over the bound.
    while (this->answer_bytes > this->options.max_answer_bytes && this->answer_order.size() > 1) {
        const auto oldest = this->answers.find(this->answer_order.front());
        this->answer_bytes -= oldest->second.body.size();
        this->answers.erase(oldest);
        this->answer_order.pop_front();
    }
}

std::optional<end_kind> attempt_history::find(attempt_id attempt) const
{
    const auto found = this->known.find(attempt);
    if (found == this->known.end()) {
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
