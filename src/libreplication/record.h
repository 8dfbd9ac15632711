#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Records on disk: 4 bytes of mark, CRC-32C of what follows, 4 bytes of length, the body. Numbers
/// are little-endian.
namespace redwingwheel::replication {

constexpr std::size_t record_header_bytes = 12;

struct record_view {
    std::string_view body;
    /// Header and body in bytes.
    std::size_t size = 0;
};

void append_record(std::string& out, std::string_view body);

/// The record at `offset`; empty when it is cut short or damaged.
[[nodiscard]] std::optional<record_view> read_record(std::string_view bytes, std::size_t offset);

/// Offset of the first whole record at or behind `offset`; empty when there is none.
[[nodiscard]] std::optional<std::size_t> find_record(std::string_view bytes, std::size_t offset);

} // namespace redwingwheel::replication
