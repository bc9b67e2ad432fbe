#include "base/address.h"

#include <charconv>

#include <asio/ip/address.hpp>

namespace mangoshift {

tl::expected<Address, std::string> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return tl::make_unexpected("'" + text + "' has no port");
    Address address;
    address.ip = text.substr(0, colon);
    asio::error_code error;
    asio::ip::make_address(address.ip, error);
    if (error)
        return tl::make_unexpected("'" + address.ip + "' is not an IP address");
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const auto [parsed, status] = std::from_chars(begin, end, address.port);
    if (status != std::errc() || parsed != end || address.port == 0)
        return tl::make_unexpected("'" + text + "' has no valid port");
    return address;
}

} // namespace mangoshift
