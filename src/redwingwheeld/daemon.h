#pragma once

#include <string>
#include <string_view>

#include "redwingwheel/control_loop.h"
#include "redwingwheel/http_client.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/metrics.h"
#include "redwingwheel/settings.h"
#include "redwingwheel/traffic_loop.h"

namespace redwingwheel::daemon {

/// Composition root of the daemon: creates and owns the services of the roles that the settings
/// enable.
class process {
public:
    process(const config::settings& settings, std::string_view secret);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Starts the event loops, then the services. Errors: a service cannot start.
    [[nodiscard]] absl::Status start();

    /// Applies the settings that can change at run time, which are the seed addresses only; all
    /// others need a restart.
    void reload(const config::settings& new_settings);

    /// Waits at most `timing.drain` for work in progress to end, then stops all services.
    void drain_and_stop();

private:
    void add_services(std::string_view secret);
    void add_cluster_services(std::string_view secret);

    config::settings settings;
    kernel::control_loop loop;
    kernel::traffic_loop traffic;
    metrics::registry metrics;
    http::client client;
    kernel::kernel services;
};

} // namespace redwingwheel::daemon
