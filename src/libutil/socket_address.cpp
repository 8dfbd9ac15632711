#include "redwingwheel/socket_address.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace redwingwheel {

std::string socket_address::text() const
{
    return this->ip.find(':') == std::string::npos ? fmt::format("{}:{}", this->ip, this->port)
                                                   : fmt::format("[{}]:{}", this->ip, this->port);
}

std::optional<socket_address> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(std::string(host), error);
    if (error || ip.is_v6() != bracketed) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const std::from_chars_result result =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || result.ec != std::errc() || result.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return socket_address{ip.to_string(), port};
}

} // namespace redwingwheel
