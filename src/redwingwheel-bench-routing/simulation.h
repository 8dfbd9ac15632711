#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "redwingwheel/admission.h"
#include "redwingwheel/retry.h"
#include "redwingwheel/router.h"
#include "workload.h"

namespace redwingwheel::bench_routing {

/// One run of the comparison.
struct scenario {
    std::string name;
    request::routing_policy policy = request::routing_policy::estimated_load;
    /// Slot time asked for, as a multiple of all slots.
    double load = 0.7;
    /// One worker fails everything after 1 ms.
    bool straggler = false;
    /// One worker runs everything four times slower.
    bool slow_worker = false;
    /// The third data centre is withdrawn after a third of the run and returns after two thirds.
    bool withdrawal = false;
    /// Agents without classes and accounts: first come, first served.
    bool plain_queue = false;
    /// Reports reach the entries each 500 ms only; answers carry no load.
    bool polls_only = false;
    bool hedging = false;
    /// Agents compared per choice.
    std::uint32_t choices = request::router_options{}.candidates_per_choice;
    /// Entries in all, spread over the data centres.
    std::uint32_t entries = 3;
};

struct class_outcome {
    std::uint64_t offered = 0;
    /// Done within the deadline.
    std::uint64_t done = 0;
    double done_work_ms = 0.0;
    /// In milliseconds; a request that was not done in time counts with its deadline.
    std::vector<double> latency_ms;
};

struct run_outcome {
    scenario settings;
    std::array<class_outcome, class_count> classes;
    std::uint64_t tries = 0;
    std::uint64_t refusals = 0;
    std::uint64_t failures = 0;
    std::uint64_t budget_refusals = 0;
    std::uint64_t hedges = 0;
    std::uint64_t straggler_tries = 0;
    /// Tries that reached a withdrawn data centre.
    std::uint64_t withdrawn_tries = 0;
    double measured_seconds = 0.0;
};

/// A discrete loop on a manual clock over the real router, admission queue and retry policy: three
/// data centres, 11 workers of 8 slots, entries in each data centre.
class simulation {
public:
    simulation(scenario chosen, std::uint64_t seed, double seconds);
    [[nodiscard]] run_outcome run();

private:
    struct event {
        std::int64_t at_ns = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
    };
    struct later {
        bool operator()(const event& left, const event& right) const
        {
            return left.at_ns != right.at_ns ? left.at_ns > right.at_ns : left.order > right.order;
        }
    };
    struct worker_state {
        std::string name;
        std::uint32_t data_centre = 0;
        bool withdrawn = false;
        steady_time ramp_deadline;
        std::unique_ptr<request::admission_queue> queue;
    };
    struct entry_state {
        std::unique_ptr<request::router> routes;
        std::unique_ptr<request::retry_policy> retries;
    };
    struct call {
        arrival from;
        steady_time arrived;
        steady_time deadline;
        std::uint32_t tries = 0;
        std::uint32_t open_tries = 0;
        bool ended = false;
        std::vector<std::string> excluded;
    };
    struct attempt_state {
        std::size_t call_index = 0;
        std::size_t worker = 0;
        request::routing_choice made;
        steady_time sent_at;
    };

    void build_workers();
    void build_entries();
    void schedule(double in_ms, std::function<void()> action);
    void schedule_arrival(std::size_t index);
    void schedule_reports(std::size_t worker);
    void schedule_expiry(std::size_t worker);
    void report(std::size_t worker);
    void set_withdrawn(bool withdrawn);
    void arrive(std::size_t index);
    void try_once(std::size_t call_index);
    void hedge(std::size_t call_index);
    void deliver(request::attempt_id attempt);
    void carry_out(std::size_t worker, const request::dispatch_result& out);
    void start(request::attempt_id attempt);
    void complete(request::attempt_id attempt, bool failed);
    void answer(request::attempt_id attempt, request::outcome_kind outcome);
    void receive(request::attempt_id attempt, request::outcome_kind outcome,
                 const request::load_report& load);
    void retry_or_end(std::size_t call_index, request::outcome_kind outcome);
    void end_call(std::size_t call_index, bool done);
    [[nodiscard]] double link_ms(std::uint32_t entry, std::size_t worker) const;
    [[nodiscard]] request::request_info describe(const call& from,
                                                 request::attempt_id attempt) const;

    scenario settings;
    double run_ms;
    std::vector<arrival> arrivals;
    manual_clock clock;
    steady_time begin;
    std::mt19937_64 random;
    std::vector<worker_state> workers;
    std::vector<entry_state> entries;
    std::vector<call> calls;
    std::unordered_map<request::attempt_id, attempt_state> attempts;
    std::unordered_map<std::string, std::size_t> worker_index;
    std::priority_queue<event, std::vector<event>, later> events;
    std::uint64_t next_order = 0;
    request::attempt_id next_attempt = 1;
    run_outcome result;
};

} // namespace redwingwheel::bench_routing
