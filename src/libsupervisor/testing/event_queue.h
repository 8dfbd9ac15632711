#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "redwingwheel/clock.h"

/// A simulation of supervisors, workers and leaders on a manual clock.
namespace redwingwheel::jobs::testing {

/// Source of all decisions of a simulation that are left to chance.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : generator(seed) {}

    /// A number below `count`, which must not be 0.
    [[nodiscard]] std::uint64_t index(std::uint64_t count) { return this->generator() % count; }
    [[nodiscard]] bool chance(double probability)
    {
        constexpr std::uint64_t steps = 1'000'000;
        return static_cast<double>(this->index(steps)) < probability * static_cast<double>(steps);
    }
    [[nodiscard]] std::chrono::microseconds between(std::chrono::microseconds low,
                                                    std::chrono::microseconds high)
    {
        return low + std::chrono::microseconds(
                         this->index(static_cast<std::uint64_t>((high - low).count()) + 1));
    }

private:
    std::mt19937_64 generator;
};

/// Work by simulated time. Work for the same time runs in the order in which it was queued.
class event_queue {
public:
    [[nodiscard]] steady_time now() const { return this->clock.now(); }
    [[nodiscard]] clock_function function() { return this->clock.function(); }
    void run_at(steady_time at, std::function<void()> work)
    {
        this->events.emplace(std::make_pair(at, ++this->last_number), std::move(work));
    }
    void run_after(std::chrono::microseconds delay, std::function<void()> work)
    {
        this->run_at(this->now() + delay, std::move(work));
    }
    void run_until(steady_time end)
    {
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            auto next = this->events.extract(this->events.begin());
            this->clock.advance_to(next.key().first);
            next.mapped()();
        }
        this->clock.advance_to(end);
    }

private:
    manual_clock clock;
    std::map<std::pair<steady_time, std::uint64_t>, std::function<void()>> events;
    std::uint64_t last_number = 0;
};

/// The control thread of a simulated process. Work of a killed process is dropped, work of a frozen
/// one runs when it continues.
class process_model {
public:
    explicit process_model(event_queue& queue) : events(queue) {}

    [[nodiscard]] bool is_running() const { return this->running; }
    [[nodiscard]] bool is_frozen() const { return this->events.now() < this->frozen_until; }

    void start() { this->running = true; }
    void kill()
    {
        this->running = false;
        ++this->generation;
        this->frozen_until = steady_time();
    }
    void freeze_until(steady_time end) { this->frozen_until = std::max(this->frozen_until, end); }

    /// Counts the starts of the process.
    [[nodiscard]] std::uint64_t current_generation() const { return this->generation; }

    /// Queues work of the present process.
    void run_at(steady_time at, std::function<void()> work)
    {
        this->run_at(this->generation, at, std::move(work));
    }
    /// Queues work of the process that was started as number `started_by`.
    void run_at(std::uint64_t started_by, steady_time at, std::function<void()> work)
    {
        this->events.run_at(
            at, [this, started_by, work = std::move(work)] { this->run(started_by, work); });
    }

private:
    void run(std::uint64_t started_by, const std::function<void()>& work)
    {
        if (started_by != this->generation) {
            return;
        }
        if (this->is_frozen()) {
            this->events.run_at(this->frozen_until,
                                [this, started_by, work] { this->run(started_by, work); });
            return;
        }
        work();
    }

    event_queue& events;
    bool running = false;
    std::uint64_t generation = 0;
    steady_time frozen_until;
};

} // namespace redwingwheel::jobs::testing
