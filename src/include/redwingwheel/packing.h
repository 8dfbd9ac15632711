#pragma once

#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "redwingwheel/errors.h"

/// Typed values to and from msgpack bytes. Types declare their fields with MSGPACK_DEFINE.
namespace redwingwheel {

enum class packing_errc { malformed = 1 };

[[nodiscard]] constexpr std::string_view error_layer(packing_errc)
{
    return "packing";
}
[[nodiscard]] constexpr std::string_view error_name(packing_errc)
{
    return "malformed";
}
[[nodiscard]] constexpr absl::StatusCode error_category(packing_errc)
{
    return absl::StatusCode::kInvalidArgument;
}

template <class Value>
[[nodiscard]] std::string pack(const Value& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Reads one value that fills `bytes` exactly. Errors: packing_errc::malformed when the bytes are
/// truncated, have another type or are followed by more.
template <class Value>
[[nodiscard]] absl::StatusOr<Value> unpack(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        // A length in the message cannot exceed the message; without this bound a damaged length
        // makes the library allocate for it before it reads on.
        const std::size_t most = bytes.size();
        constexpr std::size_t most_levels = 32;
        const msgpack::unpack_limit limit(most, most, most, most, most, most_levels);
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            return make_error(packing_errc::malformed, "bytes after the value");
        }
        Value value{};
        handle.get().convert(value);
        return value;
    }
    catch (const std::exception& error) {
        return make_error(packing_errc::malformed, error.what());
    }
}

} // namespace redwingwheel
