#include "metrics_page.h"

namespace redwingwheel::daemon {

namespace {

http::server_options single_threaded_options()
{
    http::server_options options;
    options.threads = 1;
    return options;
}

} // namespace

metrics_page::metrics_page(std::string address, const metrics::registry& registry)
    : listen(std::move(address)),
      server(single_threaded_options(),
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
