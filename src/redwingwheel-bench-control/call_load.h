#pragma once

#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "agent_fleet.h"

namespace redwingwheel::control::bench {

/// Calls a control replica as an entry does.
class control_caller {
public:
    control_caller(kernel::traffic_loop& traffic_loop, const wire::address& control);

    /// Body of the answer to one operator's call; empty when it failed or was refused.
    [[nodiscard]] nlohmann::json post(std::string_view path, std::string_view query,
                                      const nlohmann::json& body);
    /// Posts all bodies at once; returns how many were accepted.
    [[nodiscard]] std::size_t post_all(std::string_view path,
                                       std::span<const nlohmann::json> bodies);

    struct claim_counts {
        std::uint64_t finished = 0;
        std::uint64_t failed = 0;
    };
    /// Takes and finishes claims for `length`, `at_once` of them at a time.
    [[nodiscard]] claim_counts run_claims(milliseconds length, std::size_t at_once);

private:
    struct claim_run;

    void call(messages::kind kind, std::string body,
              std::function<void(absl::StatusOr<std::string>)> done);
    void begin_claim(const std::shared_ptr<claim_run>& run);
    void finish_claim(const std::shared_ptr<claim_run>& run, std::uint64_t attempt);

    kernel::traffic_loop& traffic;
    wire::rpc_client client;
    std::uint64_t next_attempt = 1;
};

/// Command of a claim as the bench sends it.
[[nodiscard]] request::begin_claim sample_begin(std::uint64_t attempt);
[[nodiscard]] request::finish_claim sample_finish(std::uint64_t attempt);

} // namespace redwingwheel::control::bench
