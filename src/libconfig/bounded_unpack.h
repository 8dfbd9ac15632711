#pragma once

#include <string_view>

#include "redwingwheel/packing.h"

namespace redwingwheel::config {

/// Snapshots nest eight levels deep.
constexpr std::size_t max_packed_depth = 12;

/// As `redwingwheel::unpack`, for bytes that may be damaged: a damaged length must not make the
/// reader allocate more than the bytes could hold, since every element takes at least one byte.
template <class Value>
[[nodiscard]] absl::StatusOr<Value> bounded_unpack(std::string_view bytes)
{
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, most, most, most, most, max_packed_depth);
    try {
        std::size_t offset = 0;
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

} // namespace redwingwheel::config
