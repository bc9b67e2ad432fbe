#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangoshift {

/// Checks the syntax of the responses on a connection, byte by byte, by RFC 9112.
///
/// The parser library accepts more than the protocol allows, such as a status of 000 or a blank in
/// the name of a field. What it accepts beyond that could reach a caller as a target's answer. Not
/// thread-safe.
class ResponseSyntax
{
public:
    /// Checks bytes that follow those of the calls before. Bytes of bodies must be left out; the
    /// lines between the chunks of a body belong to no body. Returns false if the bytes belong to
    /// no valid response; the object must not be used after that.
    bool accept(std::string_view bytes);

private:
    enum class State : std::uint8_t {
        StatusCode, ///< Up to the last digit of the status code.
        AfterStatusCode,
        Reason,
        LineEnd, ///< The line feed of the status line or of a field.
        LineStart,
        FieldName,
        FieldValue,
        FieldsEnd, ///< The line feed of the empty line after the fields.
        ChunkSizeStart,
        ChunkSize,
        ChunkExtension,
        ChunkSizeEnd,
        ChunkEnd, ///< The carriage return after the data of a chunk.
        ChunkEndLineFeed,
        Complete,
    };

    bool accept(char byte);
    bool acceptStatusCode(char byte);
    bool acceptLineStart(char byte);
    bool acceptFieldName(char byte);
    bool acceptChunkSize(char byte);
    /// Accepts one byte of a text, or the carriage return that ends it.
    bool acceptText(char byte, State afterReturn);
    /// Accepts the line feed of a line, after which `next` follows.
    bool acceptLineFeed(char byte, State next);
    /// Returns what follows the fields of a head, or of the trailer section.
    State stateAfterFields() const;

    State m_state = State::StatusCode;
    /// The number of bytes of the status line that were accepted.
    std::size_t m_position = 0;
    int m_status = 0;
    bool m_isLastChunk = false;
};

} // namespace mangoshift
