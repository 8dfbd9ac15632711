#pragma once

#include <string>

#include "redwingwheel/http_server.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/metrics.h"

namespace redwingwheel::daemon {

/// Serves the process's metrics at `/metrics`.
class metrics_page : public kernel::service {
public:
    /// `listen` is IP:port.
    metrics_page(std::string listen, const metrics::registry& counters);

    [[nodiscard]] std::string_view name() const override { return "metrics_page"; }
    [[nodiscard]] absl::Status start() override;
    void stop() override;

private:
    std::string listen;
    http::server server;
};

} // namespace redwingwheel::daemon
