#pragma once

#include <string>

#include "redwingwheel/http_server.h"
#include "redwingwheel/kernel.h"
#include "redwingwheel/metrics.h"
#include "redwingwheel/settings.h"

namespace redwingwheel::daemon {

/// HTTP server that returns the metrics of this process at `/metrics` and 404 at all other paths.
class metrics_page : public kernel::service {
public:
    /// Listens at `metrics.listen` of the settings; a malformed address makes `start` fail.
    /// `registry` must outlive the page.
    metrics_page(const config::settings& settings, metrics::registry& registry);

    [[nodiscard]] std::string_view name() const override { return "metrics_page"; }
    [[nodiscard]] absl::Status start() override;
    void stop() override;

private:
    std::string listen;
    http::server server;
};

} // namespace redwingwheel::daemon
