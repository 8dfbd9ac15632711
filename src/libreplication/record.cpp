#include "record.h"

#include <vector>

#include "redwingwheel/digest.h"

namespace redwingwheel::replication {

namespace {

constexpr std::string_view record_magic = "rwl1";
constexpr std::size_t crc_offset = 4;
constexpr std::size_t length_offset = 8;

void append_uint32(std::string& out, std::uint32_t number)
{
    for (int shift = 0; shift < 32; shift += 8) {
        out.push_back(static_cast<char>((number >> shift) & 0xFF));
    }
}

std::uint32_t read_uint32(std::string_view bytes)
{
    std::uint32_t number = 0;
    for (int byte = 3; byte >= 0; --byte) {
        number = (number << 8) | static_cast<unsigned char>(bytes[static_cast<std::size_t>(byte)]);
    }
    return number;
}

} // namespace

std::string record_header(std::span<const std::string_view> body_parts)
{
    std::size_t size = 0;
    for (const std::string_view part : body_parts) {
        size += part.size();
    }
    std::string length;
    append_uint32(length, static_cast<std::uint32_t>(size));
    std::vector<std::string_view> checked = {length};
    checked.insert(checked.end(), body_parts.begin(), body_parts.end());
    std::string header(record_magic);
    append_uint32(header, digest::crc32c(checked));
    return header + length;
}

void append_record(std::string& out, std::string_view body)
{
    out.append(record_header(std::span(&body, 1)));
    out.append(body);
}

std::optional<record_view> read_record(std::string_view bytes, std::size_t offset)
{
    if (offset > bytes.size() || bytes.size() - offset < record_header_bytes) {
        return std::nullopt;
    }
    const std::string_view rest = bytes.substr(offset);
    if (!rest.starts_with(record_magic)) {
        return std::nullopt;
    }
    const std::size_t length = read_uint32(rest.substr(length_offset));
    if (length > rest.size() - record_header_bytes) {
        return std::nullopt;
    }
    const std::size_t size = record_header_bytes + length;
    const std::string_view checked = rest.substr(length_offset, size - length_offset);
    if (digest::crc32c(checked) != read_uint32(rest.substr(crc_offset))) {
        return std::nullopt;
    }
    return record_view{rest.substr(record_header_bytes, length), size};
}

std::optional<std::size_t> find_record(std::string_view bytes, std::size_t offset)
{
    for (std::size_t next = bytes.find(record_magic, offset); next != std::string_view::npos;
         next = bytes.find(record_magic, next + 1)) {
        if (read_record(bytes, next).has_value()) {
            return next;
        }
    }
    return std::nullopt;
}

} // namespace redwingwheel::replication
