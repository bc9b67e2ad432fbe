#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangoshift {

/// Checks the syntax of the responses on a connection, byte by byte, by RFC 9112.
///
/// The parser library accepts more than the protocol allows, such as a status of 000. What it
/// accepts beyond that could reach a caller as a target's answer. Not thread-safe.
class ResponseSyntax
{
public:
    /// Checks bytes that follow those of the calls before. Bytes of bodies must be left out.
    /// Returns false if they belong to no valid response; the object must not be used after that.
    bool accept(std::string_view bytes);

private:
    enum class State : std::uint8_t {
        StatusCode, ///< Up to the last digit of the status code.
        AfterStatusCode,
        Reason,
        StatusLineEnd,
        Fields,
        Body,
    };

    bool accept(char byte);
    bool acceptStatusCode(char byte);
    bool acceptField(char byte);

    State m_state = State::StatusCode;
    /// The number of bytes of the status line that were accepted.
    std::size_t m_position = 0;
    int m_status = 0;
    bool m_isLineEmpty = true;
};

} // namespace mangoshift
