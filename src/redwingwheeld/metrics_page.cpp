#include "metrics_page.h"

namespace redwingwheel::daemon {

namespace {

http::server_options one_thread()
{
    http::server_options options;
    options.threads = 1;
    return options;
}

} // namespace

metrics_page::metrics_page(std::string address, const metrics::registry& counters)
    : listen(std::move(address)),
      server(one_thread(),
             [&counters](const http::server_request& request, const http::responder& respond) {
                 http::server_response response;
                 response.content_type = "text/plain; version=0.0.4";
                 if (request.path == "/metrics") {
                     response.body = counters.render();
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
    const absl::StatusOr<wire::address> on = wire::parse_address(this->listen);
    return on.ok() ? this->server.start(*on) : on.status();
}

void metrics_page::stop()
{
    this->server.stop();
}

} // namespace redwingwheel::daemon
