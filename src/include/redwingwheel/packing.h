#pragma once

#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "redwingwheel/errors.h"

/// msgpack serialization of typed values. Types declare their fields with MSGPACK_DEFINE.
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

/// Appends packed values to a string.
class string_stream {
public:
    explicit string_stream(std::string& to) : out(to) {}
    void write(const char* data, std::size_t size) { this->out.append(data, size); }

private:
    std::string& out;
};

template <class Value>
[[nodiscard]] std::string pack(const Value& value)
{
    std::string bytes;
    string_stream stream(bytes);
    msgpack::pack(stream, value);
    return bytes;
}

/// Deserializes the one value that `bytes` holds. Errors: packing_errc::malformed when the value is
/// truncated, of another type or followed by further bytes.
template <class Value>
[[nodiscard]] absl::StatusOr<Value> unpack(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        // No length field can exceed the size of the message; without this limit msgpack allocates
        // for a corrupt length before it reads the elements.
        const std::size_t max_length = bytes.size();
        constexpr std::size_t max_depth = 32;
        const msgpack::unpack_limit limit(max_length, max_length, max_length, max_length,
                                          max_length, max_depth);
        // Texts are copied from `bytes` into the value only once.
        const msgpack::unpack_reference_func refer = [](msgpack::type::object_type, std::size_t,
                                                        void*) { return true; };
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, refer, nullptr, limit);
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
