#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// Hashes and checksums that detect corruption, and cryptographic digests for authentication.
namespace redwingwheel::digest {

/// XXH3 hash (64 bits) of `bytes`. Not cryptographic: not for authentication.
[[nodiscard]] std::uint64_t content_hash(std::string_view bytes);

/// CRC-32C (Castagnoli) of `bytes`, for records on disk.
[[nodiscard]] std::uint32_t crc32c(std::string_view bytes);
/// The same of several parts in a row.
[[nodiscard]] std::uint32_t crc32c(std::span<const std::string_view> parts);

/// HMAC-SHA-256 of `bytes` under `key`, as 64 hexadecimal digits.
[[nodiscard]] std::string keyed_digest(std::string_view key, std::string_view bytes);

/// SHA-256 of `bytes` as 64 hexadecimal digits. Access tokens are stored in this form.
[[nodiscard]] std::string token_digest(std::string_view token);

/// Compares secrets in a time that does not depend on the position of the first difference. Texts
/// of different lengths are unequal; the time reveals that the lengths differ.
[[nodiscard]] bool equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace redwingwheel::digest
