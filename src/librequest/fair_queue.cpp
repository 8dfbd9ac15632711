#include "redwingwheel/fair_queue.h"

#include <algorithm>

namespace redwingwheel::request {

namespace {

/// Limit, in milliseconds of slot time, to which correct_charge raises the debt of an account.
/// Without it a single run of several hours would block its account for as long.
constexpr double max_debt_ms = 10'000.0;

} // namespace

void fair_queue::push(const request_info& added)
{
    account_state& account = this->accounts[added.account];
    account.weight = std::max<std::uint32_t>(1, added.account_weight);
    account.waiting.push_back(added);
    ++this->total;
}

fair_queue::account_map::const_iterator fair_queue::next_account() const
{
    auto best = this->accounts.end();
    double best_tag = 0.0;
    for (auto account = this->accounts.begin(); account != this->accounts.end(); ++account) {
        const double tag = std::max(account->second.finish_tag, this->virtual_time);
        if (!account->second.waiting.empty() && (best == this->accounts.end() || tag < best_tag)) {
            best = account;
            best_tag = tag;
        }
    }
    return best;
}

const request_info* fair_queue::head() const
{
    const auto account = this->next_account();
    return account == this->accounts.end() ? nullptr : &account->second.waiting.front();
}

request_info fair_queue::pop_head(double cost_ms)
{
    account_state& account = this->accounts.find(this->next_account()->first)->second;
    request_info head = std::move(account.waiting.front());
    account.waiting.pop_front();
    --this->total;
    const double start_tag = std::max(account.finish_tag, this->virtual_time);
    this->virtual_time = start_tag;
    account.finish_tag = start_tag + cost_ms / account.weight;
    return head;
}

void fair_queue::correct_charge(std::string_view account, double charged_ms, double used_ms)
{
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end()) {
        return;
    }
    account_state& state = found->second;
    const double max_tag = this->virtual_time + max_debt_ms / state.weight;
    const double corrected = state.finish_tag + (used_ms - charged_ms) / state.weight;
    state.finish_tag = std::min(corrected, std::max(max_tag, state.finish_tag));
    if (state.waiting.empty() && state.finish_tag <= this->virtual_time) {
        this->accounts.erase(found);
    }
}

std::optional<request_info> fair_queue::remove(attempt_id attempt)
{
    std::vector<request_info> removed = this->remove_if(
        [attempt](const request_info& waiting) { return waiting.attempt == attempt; });
    if (removed.empty()) {
        return std::nullopt;
    }
    return std::move(removed.front());
}

std::optional<request_info> fair_queue::remove_newest()
{
    const auto longest = std::max_element(
        this->accounts.begin(), this->accounts.end(), [](const auto& left, const auto& right) {
            return left.second.waiting.size() < right.second.waiting.size();
        });
    if (longest == this->accounts.end() || longest->second.waiting.empty()) {
        return std::nullopt;
    }
    request_info newest = std::move(longest->second.waiting.back());
    longest->second.waiting.pop_back();
    --this->total;
    return newest;
}

std::vector<request_info>
fair_queue::remove_if(const std::function<bool(const request_info&)>& predicate)
{
    std::vector<request_info> removed;
    for (auto& [name, account] : this->accounts) {
        const auto kept = std::stable_partition(
            account.waiting.begin(), account.waiting.end(),
            [&predicate](const request_info& waiting) { return !predicate(waiting); });
        std::move(kept, account.waiting.end(), std::back_inserter(removed));
        account.waiting.erase(kept, account.waiting.end());
    }
    this->total -= static_cast<std::uint32_t>(removed.size());
    return removed;
}

double fair_queue::count_ahead_of(std::string_view account, std::uint32_t weight) const
{
    const double own_rounds =
        static_cast<double>(this->account_size(account)) / std::max<std::uint32_t>(1, weight);
    double ahead = 0.0;
    for (const auto& [name, state] : this->accounts) {
        const double waiting = static_cast<double>(state.waiting.size());
        ahead += name == account ? waiting : std::min(waiting, (own_rounds + 1.0) * state.weight);
    }
    return ahead;
}

std::uint32_t fair_queue::account_size(std::string_view account) const
{
    const auto found = this->accounts.find(account);
    return found == this->accounts.end() ? 0
                                         : static_cast<std::uint32_t>(found->second.waiting.size());
}

std::optional<steady_time> fair_queue::earliest_deadline() const
{
    std::optional<steady_time> earliest;
    for (const auto& [name, account] : this->accounts) {
        for (const request_info& waiting : account.waiting) {
            if (!earliest.has_value() || waiting.deadline < *earliest) {
                earliest = waiting.deadline;
            }
        }
    }
    return earliest;
}

void fair_queue::reset_shares()
{
    this->accounts.clear();
    this->virtual_time = 0.0;
}

} // namespace redwingwheel::request
