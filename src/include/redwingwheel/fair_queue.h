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

/// Queued requests of one class, served by start-time fair queueing over accounts (Goyal, Vin and
/// Cheng, 1996): each account gets slot time in proportion to its weight, independent of the number
/// of requests that it sends.
class fair_queue {
public:
    void push(const request_info& added);

    /// The request to start next: the oldest of the account with the lowest finish tag; null when
    /// the queue is empty.
    [[nodiscard]] const request_info* head() const;
    /// Removes the head and charges its account `cost_ms` milliseconds of slot time. The queue must
    /// not be empty.
    request_info pop_head(double cost_ms);
    /// Replaces the charge made at the start by the slot time used, both in milliseconds. Does
    /// nothing for an unknown account.
    void correct_charge(std::string_view account, double charged_ms, double used_ms);

    /// Removes a request without a charge; empty when it is not queued.
    std::optional<request_info> remove(attempt_id attempt);
    /// Removes the newest request of the account with the most queued requests; empty when nothing
    /// is queued.
    std::optional<request_info> remove_newest();
    /// Removes and returns all requests that satisfy `predicate`, oldest first within an account.
    std::vector<request_info> remove_if(const std::function<bool(const request_info&)>& predicate);

    /// Estimates how many queued requests are served before a new request of `account`, from the
    /// weights of the accounts with queued requests.
    [[nodiscard]] double count_ahead_of(std::string_view account, std::uint32_t weight) const;
    [[nodiscard]] std::uint32_t account_size(std::string_view account) const;
    [[nodiscard]] std::uint32_t size() const { return this->total; }
    [[nodiscard]] std::optional<steady_time> earliest_deadline() const;
    /// Resets all charges. To be called only when the class has no queued or running requests.
    void reset_shares();

private:
    struct account_state {
        std::deque<request_info> waiting;
        /// Virtual time up to which slot time has been charged to the account.
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
