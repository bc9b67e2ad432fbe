#include "http/responsesyntax.h"

#include <algorithm>

#include "http/httpstatus.h"

namespace mangoshift {

namespace {

constexpr std::string_view VersionPrefix = "HTTP/1.";
constexpr std::size_t MinorVersionAt = VersionPrefix.size();
constexpr std::size_t StatusCodeAt = MinorVersionAt + 2;
constexpr std::size_t StatusCodeEnd = StatusCodeAt + 3;

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// Returns whether a reason may contain the byte: tabs, spaces, visible characters and bytes above
/// 127.
bool isText(char byte)
{
    return byte == '\t' || (static_cast<unsigned char>(byte) >= ' ' && byte != '\x7f');
}

bool isInterim(int status)
{
    return status < httpstatus::Ok;
}

} // namespace

bool ResponseSyntax::accept(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [this](char byte) { return accept(byte); });
}

bool ResponseSyntax::accept(char byte)
{
    switch (m_state) {
    case State::StatusCode:
        return acceptStatusCode(byte);
    case State::AfterStatusCode:
        m_state = byte == '\r' ? State::StatusLineEnd : State::Reason;
        // Some servers leave out the space together with the reason, which changes no meaning.
        return byte == '\r' || byte == ' ';
    case State::Reason:
        if (byte == '\r')
            m_state = State::StatusLineEnd;
        return byte == '\r' || isText(byte);
    case State::StatusLineEnd:
        m_state = State::Fields;
        return byte == '\n';
    case State::Fields:
        return acceptField(byte);
    case State::Body:
        return true;
    }
    return false;
}

bool ResponseSyntax::acceptStatusCode(char byte)
{
    // Empty lines before a response are skipped.
    if (m_position == 0 && (byte == '\r' || byte == '\n'))
        return true;
    const std::size_t at = m_position++;
    if (at < MinorVersionAt)
        return byte == VersionPrefix[at];
    if (at == MinorVersionAt)
        return byte == '0' || byte == '1';
    if (at < StatusCodeAt)
        return byte == ' ';
    m_status = m_status * 10 + (byte - '0');
    if (m_position < StatusCodeEnd)
        return isDigit(byte);
    m_state = State::AfterStatusCode;
    return isDigit(byte) && m_status >= httpstatus::FirstValid && m_status <= httpstatus::LastValid
        && m_status != httpstatus::SwitchingProtocols;
}

bool ResponseSyntax::acceptField(char byte)
{
    if (byte == '\n' && m_isLineEmpty) {
        const bool isFinal = !isInterim(m_status);
        *this = ResponseSyntax();
        if (isFinal)
            m_state = State::Body;
        return true;
    }
    if (byte != '\r')
        m_isLineEmpty = byte == '\n';
    return true;
}

} // namespace mangoshift
