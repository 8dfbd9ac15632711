#include "redwingwheel/http_server.h"

namespace redwingwheel::http {

std::string_view error_name(http_errc code)
{
    switch (code) {
    case http_errc::listen_failed:
        return "listen failed";
    case http_errc::not_connected:
        return "not connected";
    case http_errc::connection_refused:
        return "connection refused";
    case http_errc::lost_after_send:
        return "connection lost after send";
    case http_errc::incomplete_response:
        return "incomplete answer";
    case http_errc::response_too_large:
        return "answer too large";
    }
    return "unknown";
}

absl::StatusCode error_category(http_errc code)
{
    switch (code) {
    case http_errc::listen_failed:
    case http_errc::not_connected:
    case http_errc::connection_refused:
        return absl::StatusCode::kUnavailable;
    case http_errc::lost_after_send:
        return absl::StatusCode::kUnknown;
    case http_errc::incomplete_response:
        return absl::StatusCode::kDataLoss;
    case http_errc::response_too_large:
        return absl::StatusCode::kResourceExhausted;
    }
    return absl::StatusCode::kUnknown;
}

bool was_not_sent(const absl::Status& status)
{
    const std::optional<http_errc> code = error_code<http_errc>(status);
    return code == http_errc::not_connected || code == http_errc::connection_refused;
}

} // namespace redwingwheel::http
