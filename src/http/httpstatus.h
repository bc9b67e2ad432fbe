#pragma once

namespace mangoshift::httpstatus {

// The status codes that the code handles explicitly, with their names from RFC 9110.
constexpr int SwitchingProtocols = 101;
constexpr int Ok = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int RequestTimeout = 408;
constexpr int Gone = 410;
constexpr int ContentTooLarge = 413;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int HeadersTooLarge = 431;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

// The range of valid status codes.
constexpr int FirstValid = 100;
constexpr int LastValid = 599;

/// Returns whether a response with this status precedes the final one.
constexpr bool isInterim(int status)
{
    return status < Ok;
}

} // namespace mangoshift::httpstatus
