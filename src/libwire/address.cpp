#include "redwingwheel/address.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace redwingwheel::wire {

namespace {

absl::Status bad_address(std::string_view text)
{
    return absl::InvalidArgumentError(
        fmt::format("address {}: allowed IP:PORT with a port from 1 to 65535", text));
}

} // namespace

absl::StatusOr<address> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return bad_address(text);
    }
    std::string_view ip = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(ip), error);
    std::uint16_t number = 0;
    const std::from_chars_result read =
        std::from_chars(port.data(), port.data() + port.size(), number);
    const bool whole = read.ec == std::errc() && read.ptr == port.data() + port.size();
    if (error || !whole || number == 0) {
        return bad_address(text);
    }
    return address{std::string(ip), number};
}

std::string to_string(const address& of)
{
    if (of.ip.find(':') != std::string::npos) {
        return fmt::format("[{}]:{}", of.ip, of.port);
    }
    return fmt::format("{}:{}", of.ip, of.port);
}

} // namespace redwingwheel::wire
