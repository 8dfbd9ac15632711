#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

/// Error codes by layer. Each layer has its own enumeration; a status returned by the layer carries
/// the code as a payload, and the calling layer translates it into a code of its own.
namespace redwingwheel {

/// An enumeration that has error_layer, error_name and error_category (found by ADL).
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

/// Payload key (type URL) under which a status stores the code of `layer`.
[[nodiscard]] std::string payload_key(std::string_view layer);

/// Builds a status; used by `make_error`.
[[nodiscard]] absl::Status make_status(std::string_view layer, std::string_view name, int code,
                                       absl::StatusCode category, std::string_view message);

/// Copies the message of `status`, which is an absl::string_view and not a std::string_view.
[[nodiscard]] std::string message_of(const absl::Status& status);

/// Returns the code that `layer` stored in `status`; empty when there is none or it is no number.
[[nodiscard]] std::optional<int> read_code(const absl::Status& status, std::string_view layer);

} // namespace errors

/// Returns an error status that carries `code`. Its text is "<layer>: <error name>: <message>".
template <error_enumeration Code>
[[nodiscard]] absl::Status make_error(Code code, std::string_view message)
{
    return errors::make_status(error_layer(code), error_name(code), static_cast<int>(code),
                               error_category(code), message);
}

/// Returns a status that carries `code` instead of the code of `cause`, with the text of `cause`.
template <error_enumeration Code>
[[nodiscard]] absl::Status translate_error(Code code, const absl::Status& cause)
{
    return make_error(code, errors::message_of(cause));
}

/// Returns the code of type Code in `status`; empty when it is OK or comes from another layer.
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
