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

bool isHexDigit(char byte)
{
    return isDigit(byte) || (byte >= 'a' && byte <= 'f') || (byte >= 'A' && byte <= 'F');
}

/// Returns whether the name of a field may contain the byte.
bool isNameByte(char byte)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return isDigit(byte) || (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
        || symbols.find(byte) != std::string_view::npos;
}

/// Returns whether a reason, a value or a chunk extension may contain the byte: tabs, spaces,
/// visible characters and bytes above 127.
bool isText(char byte)
{
    return byte == '\t' || (static_cast<unsigned char>(byte) >= ' ' && byte != '\x7f');
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
        // Some servers leave out the space together with the reason, which changes no meaning.
        m_state = byte == '\r' ? State::LineEnd : State::Reason;
        return byte == '\r' || byte == ' ';
    case State::Reason:
    case State::FieldValue:
        return acceptText(byte, State::LineEnd);
    case State::LineEnd:
        return acceptLineFeed(byte, State::LineStart);
    case State::LineStart:
        return acceptLineStart(byte);
    case State::FieldName:
        return acceptFieldName(byte);
    case State::FieldsEnd:
        return acceptLineFeed(byte, stateAfterFields());
    case State::ChunkSizeStart:
        m_isLastChunk = true;
        m_state = State::ChunkSize;
        return isHexDigit(byte) && acceptChunkSize(byte);
    case State::ChunkSize:
        return acceptChunkSize(byte);
    case State::ChunkExtension:
        return acceptText(byte, State::ChunkSizeEnd);
    case State::ChunkSizeEnd:
        return acceptLineFeed(byte, m_isLastChunk ? State::LineStart : State::ChunkEnd);
    case State::ChunkEnd:
        m_state = State::ChunkEndLineFeed;
        return byte == '\r';
    case State::ChunkEndLineFeed:
        return acceptLineFeed(byte, State::ChunkSizeStart);
    case State::Complete:
        return false;
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

bool ResponseSyntax::acceptLineStart(char byte)
{
    m_state = byte == '\r' ? State::FieldsEnd : State::FieldName;
    // A blank would continue the line before, which RFC 9112 no longer allows.
    return byte == '\r' || isNameByte(byte);
}

bool ResponseSyntax::acceptFieldName(char byte)
{
    if (byte == ':')
        m_state = State::FieldValue;
    return byte == ':' || isNameByte(byte);
}

bool ResponseSyntax::acceptChunkSize(char byte)
{
    if (isHexDigit(byte)) {
        m_isLastChunk = m_isLastChunk && byte == '0';
        return true;
    }
    m_state = byte == '\r' ? State::ChunkSizeEnd : State::ChunkExtension;
    return byte == '\r' || byte == ';' || byte == ' ' || byte == '\t';
}

bool ResponseSyntax::acceptText(char byte, State afterReturn)
{
    if (byte == '\r')
        m_state = afterReturn;
    return byte == '\r' || isText(byte);
}

bool ResponseSyntax::acceptLineFeed(char byte, State next)
{
    if (next == State::StatusCode)
        *this = ResponseSyntax();
    m_state = next;
    return byte == '\n';
}

ResponseSyntax::State ResponseSyntax::stateAfterFields() const
{
    if (m_isLastChunk)
        return State::Complete;
    // Bytes that belong to no body follow a final head only if the body has chunks.
    return httpstatus::isInterim(m_status) ? State::StatusCode : State::ChunkSizeStart;
}

} // namespace mangoshift
