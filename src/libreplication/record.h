#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// Record format on disk: 4 bytes of magic, 4 bytes of CRC-32C over all that follows, 4 bytes of
/// body length, the body. Numbers are little-endian.
namespace redwingwheel::replication {

constexpr std::size_t record_header_bytes = 12;

struct record_view {
    std::string_view body;
    /// Header and body in bytes.
    std::size_t size = 0;
};

/// Appends a record with the given body to `out`.
void append_record(std::string& out, std::string_view body);

/// Returns the header of a record whose body consists of the parts, in their order.
[[nodiscard]] std::string record_header(std::span<const std::string_view> body_parts);

/// Returns the record at `offset`; empty when it is incomplete or corrupt.
[[nodiscard]] std::optional<record_view> read_record(std::string_view bytes, std::size_t offset);

/// Returns the offset of the first intact record at or after `offset`; empty when there is none.
[[nodiscard]] std::optional<std::size_t> find_record(std::string_view bytes, std::size_t offset);

} // namespace redwingwheel::replication
