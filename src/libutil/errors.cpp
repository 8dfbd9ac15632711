#include "redwingwheel/errors.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

namespace redwingwheel::errors {

std::string payload_key(std::string_view layer)
{
    return fmt::format("redwingwheel/{}", layer);
}

absl::Status make_status(std::string_view layer, std::string_view name, int code,
                         absl::StatusCode category, std::string_view message)
{
    absl::Status status(category, fmt::format("{}: {}: {}", layer, name, message));
    status.SetPayload(payload_key(layer), absl::Cord(fmt::format("{}", code)));
    return status;
}

std::string message_of(const absl::Status& status)
{
    return std::string(status.message());
}

std::optional<int> read_code(const absl::Status& status, std::string_view layer)
{
    const absl::optional<absl::Cord> payload = status.GetPayload(payload_key(layer));
    if (!payload.has_value()) {
        return std::nullopt;
    }
    int code = 0;
    if (!absl::SimpleAtoi(std::string(*payload), &code)) {
        return std::nullopt;
    }
    return code;
}

} // namespace redwingwheel::errors
