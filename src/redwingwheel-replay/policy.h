#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "redwingwheel/placement.h"

/// What a replay asks of a scheduler: the project's engine, or a baseline to compare it with.
namespace redwingwheel::replay {

class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    virtual void add_worker(const placement::worker_spec& worker) = 0;
    virtual void remove_worker(std::string_view worker) = 0;
    virtual void set_data_centre_state(std::string_view data_centre,
                                       placement::data_centre_state state) = 0;
    [[nodiscard]] virtual std::vector<placement::shortfall>
    check_guarantees(std::span<const placement::guarantee> wanted) const = 0;
    virtual void set_guarantees(std::span<const placement::guarantee> wanted) = 0;
    [[nodiscard]] virtual absl::Status submit(const placement::job_spec& job) = 0;
    virtual void cancel(std::string_view job) = 0;
    virtual void finish(std::string_view job) = 0;
    virtual void stopped(std::string_view job, bool checkpointed) = 0;
    virtual void report_failure(std::string_view job, std::string_view worker,
                                std::string_view service) = 0;
    [[nodiscard]] virtual std::vector<placement::decision> decide() = 0;
    [[nodiscard]] virtual bool has_more() const = 0;
    [[nodiscard]] virtual std::vector<placement::guarantee_summary> guarantee_summaries() const = 0;
    [[nodiscard]] virtual std::vector<std::string> quarantined_workers() const = 0;
};

inline constexpr std::string_view own_policy_name = "redwingwheel";

/// Names that make_policy knows, the project's own first.
[[nodiscard]] std::span<const std::string> policy_names();

/// Throws std::invalid_argument on an unknown name.
[[nodiscard]] std::unique_ptr<policy> make_policy(std::string_view name, clock_function clock);

} // namespace redwingwheel::replay
