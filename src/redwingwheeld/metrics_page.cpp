#include "metrics_page.h"

#include "redwingwheel/listener_options.h"

namespace redwingwheel::daemon {

metrics_page::metrics_page(const config::settings& settings, metrics::registry& registry)
    : listen(settings.metrics.listen),
      server(http::small_listener_options(settings.limits, "metrics", registry),
             [&registry](const http::server_request& request, const http::responder& respond) {
                 http::server_response response;
                 response.content_type = "text/plain; version=0.0.4";
                 if (request.path == "/metrics") {
                     response.body = registry.render();
                 }
                 else {
                     response.status = 404;
                 }
                 respond(response);
             })
{
}

absl::Status metrics_page::start()
{
    const absl::StatusOr<wire::address> listen_address = wire::parse_address(this->listen);
    return listen_address.ok() ? this->server.start(*listen_address) : listen_address.status();
}

void metrics_page::stop()
{
    this->server.stop();
}

} // namespace redwingwheel::daemon
