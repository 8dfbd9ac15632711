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

/// The composition root: makes the services of the roles in the settings.
class process {
public:
    process(const config::settings& settings, std::string_view secret);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    [[nodiscard]] absl::Status start();

    /// Takes over what can change while the process runs: the seeds.
    void reload(const config::settings& changed);

    /// Lets work in progress end, within the time that the settings give, then stops.
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
