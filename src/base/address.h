#pragma once

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace mangoshift {

/// An IP address and a port number.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string toString() const { return ip + ":" + std::to_string(port); }
};

/// Parses text of the form `127.0.0.1:8080`. On failure, returns a description of the error.
tl::expected<Address, std::string> parseAddress(const std::string &text);

} // namespace mangoshift
