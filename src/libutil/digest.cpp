#include "redwingwheel/digest.h"

#include <array>

#include <absl/strings/escaping.h>
#include <boost/crc.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace redwingwheel::digest {

namespace {

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(bytes), size));
}

} // namespace

std::uint64_t content_hash(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint32_t crc32c(std::string_view bytes)
{
    return crc32c(std::span(&bytes, 1));
}

std::uint32_t crc32c(std::span<const std::string_view> parts)
{
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    for (const std::string_view part : parts) {
        crc.process_bytes(part.data(), part.size());
    }
    return crc.checksum();
}

std::string keyed_digest(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), out.data(), &size);
    return to_hex(out.data(), size);
}

std::string token_digest(std::string_view token)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
    unsigned int size = 0;
    EVP_Digest(token.data(), token.size(), out.data(), &size, EVP_sha256(), nullptr);
    return to_hex(out.data(), size);
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace redwingwheel::digest
