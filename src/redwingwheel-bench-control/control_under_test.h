#pragma once

#include <ctime>
#include <filesystem>
#include <memory>
#include <string>

#include "redwingwheel/control_service.h"

namespace redwingwheel::control::bench {

/// Counts since the start of the process or of the replica.
struct cost_sample {
    steady_time at;
    double control_thread_s = 0.0; ///< Processor time of the control thread.
    double traffic_thread_s = 0.0; ///< Processor time of the replica's traffic thread.
    double process_s = 0.0;        ///< Processor time of all threads, with the simulated agents.
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t commit = 0; ///< Index of the last committed log entry.
};

/// One control replica that is a group of its own, with real files and a real port on loopback.
class control_under_test {
public:
    /// Port 0: a free one.
    control_under_test(const std::filesystem::path& folder, std::uint16_t port);
    ~control_under_test();
    control_under_test(const control_under_test&) = delete;
    control_under_test& operator=(const control_under_test&) = delete;

    /// Returns when the replica leads, 5 s later at the most.
    [[nodiscard]] absl::Status start();
    void stop();

    [[nodiscard]] const wire::address& address() const { return this->listen; }
    [[nodiscard]] cost_sample sample();

private:
    wire::address listen;
    config::settings settings;
    kernel::control_loop loop;
    kernel::traffic_loop traffic;
    std::unique_ptr<control_service> service;
    clockid_t control_clock{};
    clockid_t traffic_clock{};
    bool running = false;
};

/// The secret that the replica and its callers share.
inline constexpr std::string_view bench_secret = "a secret of this bench only, 32 B";

/// Resident memory of this process, KiB.
[[nodiscard]] std::uint64_t resident_kb();

} // namespace redwingwheel::control::bench
