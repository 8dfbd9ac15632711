#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/request_info.h"

namespace redwingwheel::request {

/// The waiting requests of one class, served by start-time fair queueing over accounts (Goyal, Vin
/// and Cheng, 1996): an account's share of slot time follows its weight, whatever it sends.
class fair_queue {
public:
    void push(const request_info& added);

    /// The request to start next: the oldest of the account that has used least of its share.
    [[nodiscard]] const request_info* head() const;
    /// Takes the head out and charges its account `cost_ms` of slot time. Not on an empty queue.
    request_info pop_head(double cost_ms);
    /// Replaces a charge by the slot time that was used.
    void correct_charge(std::string_view account, double charged_ms, double used_ms);

    /// Takes a request out without a charge; empty when it does not wait here.
    std::optional<request_info> remove(attempt_id attempt);
    /// Takes out the newest request of the account with the longest queue.
    std::optional<request_info> remove_newest();
    /// Takes out all that fulfil `leaves`, oldest first within an account.
    std::vector<request_info> remove_if(const std::function<bool(const request_info&)>& leaves);

    /// Requests that are served before a new one of `account`, by the weights of those waiting.
    [[nodiscard]] double ahead_of(std::string_view account, std::uint32_t weight) const;
    [[nodiscard]] std::uint32_t account_size(std::string_view account) const;
    [[nodiscard]] std::uint32_t size() const { return this->total; }
    [[nodiscard]] std::optional<steady_time> earliest_deadline() const;
    /// Forgets the shares used; for a class without waiting or running work.
    void reset_shares();

private:
    struct account_state {
        std::deque<request_info> waiting;
        /// Virtual time up to which the account has used its share.
        double finish_tag = 0.0;
        std::uint32_t weight = 1;
    };
    using account_map = std::map<std::string, account_state, std::less<>>;

    [[nodiscard]] account_map::const_iterator next_account() const;

    account_map accounts;
    double virtual_time = 0.0;
    std::uint32_t total = 0;
};

} // namespace redwingwheel::request
