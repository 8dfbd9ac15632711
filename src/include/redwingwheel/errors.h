#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

/// Errors by layer. Each layer has an enumeration of its own; a status that leaves the layer
/// carries the layer's code as a payload, and the layer above turns it into its own code.
namespace redwingwheel {

/// An enumeration with the three functions that describe it, found by argument-dependent lookup.
template <class Code>
concept error_enumeration = requires(Code code)
{
    {
        error_layer(code)
        } -> std::convertible_to<std::string_view>;
    {
        error_name(code)
        } -> std::convertible_to<std::string_view>;
    {
        error_category(code)
        } -> std::convertible_to<absl::StatusCode>;
};

namespace errors {

/// Payload key under which a layer's code travels in a status.
[[nodiscard]] std::string payload_key(std::string_view layer);

/// Builds a status; used by `make_error`.
[[nodiscard]] absl::Status make_status(std::string_view layer, std::string_view name, int code,
                                       absl::StatusCode category, std::string_view message);

/// The text of `status` as a standard string; Abseil's own string view is a type of its own.
[[nodiscard]] std::string message_of(const absl::Status& status);

/// Reads the code that a layer put into `status`; empty when it is not that layer's status.
[[nodiscard]] std::optional<int> read_code(const absl::Status& status, std::string_view layer);

} // namespace errors

/// A status of the layer that `code` belongs to. The text is "<layer>: <message>".
template <error_enumeration Code>
[[nodiscard]] absl::Status make_error(Code code, std::string_view message)
{
    return errors::make_status(error_layer(code), error_name(code), static_cast<int>(code),
                               error_category(code), message);
}

/// Turns an error of the layer below into `code` of this layer; keeps the text of the cause.
template <error_enumeration Code>
[[nodiscard]] absl::Status translate_error(Code code, const absl::Status& cause)
{
    return make_error(code, errors::message_of(cause));
}

/// The layer's code in `status`; empty when the status is OK or comes from another layer.
template <error_enumeration Code>
[[nodiscard]] std::optional<Code> error_code(const absl::Status& status)
{
    const std::optional<int> code = errors::read_code(status, error_layer(Code{}));
    if (!code.has_value()) {
        return std::nullopt;
    }
    return static_cast<Code>(*code);
}

} // namespace redwingwheel
