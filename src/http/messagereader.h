#pragma once

#include <cstddef>
#include <functional>
#include <type_traits>
#include <utility>

#include "http/httpexchange.h"
#include "http/httpparser.h"

namespace mangoshift {

/// Parses the bytes of a connection and passes each complete message to a handler. `Message` is
/// `HttpRequest` or `HttpResponse`. A response that further bytes follow is passed with `keepAlive`
/// false, since those bytes belong to no request, and they are dropped.
template <typename Message>
class MessageReader
{
public:
    using Handler = std::function<void(Message)>;

    /// `maxBody` is the maximum size of a message body, in bytes; larger messages are invalid.
    MessageReader(std::size_t maxBody, Handler handler)
        : m_parser(IsRequest ? HttpParser::Side::Requests : HttpParser::Side::Responses,
                   {MaxHeaderBytes, maxBody})
        , m_handler(std::move(handler))
    {
    }

    /// Parses received bytes. Returns false if they are not valid HTTP.
    bool feed(const char *bytes, std::size_t size)
    {
        while (size > 0) {
            const std::size_t consumed = m_parser.feed(bytes, size);
            bytes += consumed;
            size -= consumed;
            if (m_parser.fault() != HttpFault::None)
                return false;
            if (!m_parser.isComplete())
                return true;
            if constexpr (IsRequest) {
                m_handler(m_parser.takeRequest());
            } else {
                HttpResponse response = m_parser.takeResponse();
                response.keepAlive = response.keepAlive && size == 0;
                m_handler(std::move(response));
                return true;
            }
        }
        return true;
    }

private:
    static constexpr bool IsRequest = std::is_same_v<Message, HttpRequest>;
    /// Well above the size of the headers that either end of a connection sends.
    static constexpr std::size_t MaxHeaderBytes = 64U << 10U;

    HttpParser m_parser;
    Handler m_handler;
};

} // namespace mangoshift
