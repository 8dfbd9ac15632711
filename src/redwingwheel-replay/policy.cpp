#include "policy.h"

#include <array>
#include <stdexcept>

#include "baseline.h"

namespace redwingwheel::replay {

namespace {

using namespace placement;

/// Errors of calls about jobs that have just ended are of no interest to a replay.
void ignore(const absl::Status& status)
{
    static_cast<void>(status);
}

class engine_policy : public policy {
public:
    explicit engine_policy(clock_function clock) : decisions(engine_options{}, std::move(clock)) {}

    void add_worker(const worker_spec& worker) override
    {
        ignore(this->decisions.add_worker(worker));
    }
    void remove_worker(std::string_view worker) override
    {
        ignore(this->decisions.remove_worker(worker));
    }
    void set_data_centre_state(std::string_view data_centre, data_centre_state state) override
    {
        ignore(this->decisions.set_data_centre_state(data_centre, state));
    }
    [[nodiscard]] std::vector<shortfall>
    check_guarantees(std::span<const guarantee> wanted) const override
    {
        return this->decisions.check_guarantees(wanted);
    }
    void set_guarantees(std::span<const guarantee> wanted) override
    {
        ignore(this->decisions.set_guarantees(wanted));
    }
    [[nodiscard]] absl::Status submit(const job_spec& job) override
    {
        return this->decisions.submit(job);
    }
    void cancel(std::string_view job) override { ignore(this->decisions.cancel(job)); }
    void finish(std::string_view job) override { ignore(this->decisions.report_finished(job)); }
    void stopped(std::string_view job, bool checkpointed) override
    {
        ignore(this->decisions.report_stopped(job, checkpointed));
    }
    void report_failure(std::string_view job, std::string_view worker,
                        std::string_view service) override
    {
        ignore(this->decisions.report_failure(job, worker, service));
    }
    [[nodiscard]] std::vector<decision> decide() override { return this->decisions.decide(); }
    [[nodiscard]] bool has_more() const override { return this->decisions.has_more(); }
    [[nodiscard]] std::vector<guarantee_summary> guarantee_summaries() const override
    {
        return this->decisions.guarantee_summaries();
    }
    [[nodiscard]] std::vector<std::string> quarantined_workers() const override
    {
        std::vector<std::string> found;
        for (const worker_summary& worker : this->decisions.worker_summaries()) {
            if (worker.quarantined) {
                found.push_back(worker.worker.name);
            }
        }
        return found;
    }

private:
    engine decisions;
};

} // namespace

std::span<const std::string> policy_names()
{
    static const std::array<std::string, 4> names = {std::string(own_policy_name), "first-fit",
                                                     "best-fit", "quota-only"};
    return names;
}

std::unique_ptr<policy> make_policy(std::string_view name, clock_function clock)
{
    if (name == own_policy_name) {
        return std::make_unique<engine_policy>(std::move(clock));
    }
    if (name == "first-fit") {
        return std::make_unique<baseline>(baseline_kind::first_fit, std::move(clock));
    }
    if (name == "best-fit") {
        return std::make_unique<baseline>(baseline_kind::best_fit, std::move(clock));
    }
    if (name == "quota-only") {
        return std::make_unique<baseline>(baseline_kind::quota_only, std::move(clock));
    }
    throw std::invalid_argument("unknown policy: " + std::string(name));
}

} // namespace redwingwheel::replay
