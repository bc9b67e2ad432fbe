#include "http/targetchannel.h"

#include <array>
#include <charconv>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "http/socketoptions.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

/// Larger answers of targets count as malformed. A VM of 260 MB holds some dozens of them.
constexpr HttpSizeLimits AnswerLimits{64U << 10U, 4U << 20U};
/// How long before the target's stated time-out an idle connection is not used any more: a request
/// must not cross the target's close.
constexpr std::chrono::milliseconds KeepAliveMargin{700};
constexpr std::size_t ReadBytes = 64U << 10U;

/// Returns `timeout=N` of a Keep-Alive header, if it is there.
std::optional<std::chrono::seconds> keepAliveTimeout(std::string_view header)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t at = header.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = header.substr(at + key.size());
    int seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

std::string requestBytes(const ForwardedRequest &request, const TargetHeaderNames &names,
                         const std::string &targetId, Clock::time_point now)
{
    const auto left = std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now).count());
    std::string bytes;
    bytes.reserve(request.head.size() + request.body.size() + 128);
    bytes += request.head;
    bytes += names.timeLeft + ": " + std::to_string(left) + "\r\n";
    bytes += names.expectedTarget + ": " + targetId + "\r\n";
    if (request.hasBody)
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    bytes += "\r\n";
    bytes += request.body;
    return bytes;
}

} // namespace

TargetChannel::TargetChannel(asio::io_context &io, TargetChannels &owner)
    : m_owner(&owner)
    , m_socket(io)
    , m_parser(HttpParser::Side::Responses, AnswerLimits)
    , m_openedAt(Clock::now())
{
}

void TargetChannel::connect(const tcp::endpoint &endpoint)
{
    m_socket.async_connect(endpoint, [self = shared_from_this()](const asio::error_code &error) {
        if (!self->m_isClosed)
            self->onConnect(error);
    });
}

void TargetChannel::onConnect(const asio::error_code &error)
{
    if (error) {
        close();
        return;
    }
    m_isConnected = true;
    m_lastAnswer = Clock::now();
    prepareSocket(m_socket);
    awaitBytes();
    m_owner->onFree(shared_from_this());
}

void TargetChannel::send(CallNumber number, ForwardedRequestPtr request, TargetChannels::Done done)
{
    m_call = number;
    m_request = std::move(request);
    m_done = std::move(done);
    m_sentAt = Clock::now();
    m_closeAt = Clock::time_point::max();
    m_parser.expectNoBody(m_request->isHead);
    m_unwritten = requestBytes(*m_request, m_owner->m_names, m_owner->m_targetId, m_sentAt);
    asio::error_code error;
    const std::size_t written = m_socket.write_some(asio::buffer(m_unwritten), error);
    m_unwritten.erase(0, written);
    if (!m_unwritten.empty())
        writeRest();
    // A write that fails shows again, and is dealt with, when the socket is read.
}

void TargetChannel::writeRest()
{
    asio::async_write(m_socket, asio::buffer(m_unwritten),
                      [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                          if (self->m_isClosed)
                              return;
                          if (error)
                              self->end(TargetCallResult::End::Lost);
                          else
                              self->m_unwritten.clear();
                      });
}

void TargetChannel::awaitBytes()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code &error) {
                            if (self->m_isClosed)
                                return;
                            if (error)
                                self->end(TargetCallResult::End::Lost);
                            else
                                self->readBytes();
                        });
}

void TargetChannel::readBytes()
{
    static thread_local std::array<char, ReadBytes> buffer;
    asio::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        awaitBytes();
        return;
    }
    if (error) {
        if (error == asio::error::eof && m_call != 0 && m_parser.hasHeaders()) {
            m_parser.finish();
            if (m_parser.isComplete()) {
                takeAnswer(true);
                if (!m_isClosed)
                    close();
                return;
            }
        }
        end(TargetCallResult::End::Lost);
        return;
    }
    const std::shared_ptr<TargetChannel> self = shared_from_this();
    takeBytes(buffer.data(), size);
    if (!m_isClosed)
        awaitBytes();
}

void TargetChannel::takeBytes(const char *bytes, std::size_t size)
{
    while (size > 0 && !m_isClosed) {
        if (m_call == 0) {
            // Nobody has asked for these bytes, so the connection is out of step.
            ++m_owner->m_counts.unexpectedResponses;
            close();
            return;
        }
        const std::size_t taken = m_parser.feed(bytes, size);
        bytes += taken;
        size -= taken;
        if (m_parser.fault() != HttpFault::None) {
            end(TargetCallResult::End::Malformed);
            return;
        }
        if (!m_parser.isComplete())
            return;
        takeAnswer(size == 0);
    }
}

void TargetChannel::takeAnswer(bool isLast)
{
    HttpResponse response = m_parser.takeResponse();
    m_lastAnswer = Clock::now();
    const std::string_view echoed = response.headers.value(m_owner->m_names.requestId);
    if (!echoed.empty() && echoed != m_request->id) {
        ++m_owner->m_counts.unexpectedResponses;
        if (!response.keepAlive)
            end(TargetCallResult::End::Lost);
        return;
    }
    noteKeepAlive(response.headers);
    // Bytes behind the answer belong to no request, so the connection is out of step.
    const bool isKept = response.keepAlive && m_unwritten.empty() && isLast;
    TargetCallResult reply{TargetCallResult::End::Responded, true, m_sentAt, std::move(response)};
    const TargetChannels::Done done = std::exchange(m_done, nullptr);
    m_call = 0;
    m_request = nullptr;
    m_closeAt = Clock::time_point::max();
    const std::shared_ptr<TargetChannel> self = shared_from_this();
    if (isKept)
        m_owner->onFree(self);
    else
        close();
    if (done)
        done(std::move(reply));
}

void TargetChannel::noteKeepAlive(const HttpHeaders &headers)
{
    const auto timeout = keepAliveTimeout(headers.value("keep-alive"));
    m_usableUntil = timeout ? m_lastAnswer + *timeout - KeepAliveMargin : Clock::time_point::max();
}

void TargetChannel::abandon(Clock::time_point closeAt)
{
    m_closeAt = closeAt;
}

bool TargetChannel::closeIfOverdue(Clock::time_point now, std::chrono::milliseconds connectTimeout)
{
    if (!m_isConnected && now - m_openedAt >= connectTimeout) {
        close();
    } else if (m_call != 0 && now >= m_closeAt) {
        end(TargetCallResult::End::Abandoned);
        return true;
    }
    return false;
}

void TargetChannel::end(TargetCallResult::End end)
{
    if (m_isClosed)
        return;
    const TargetChannels::Done done = std::exchange(m_done, nullptr);
    const TargetCallResult reply{end, true, m_sentAt, {}};
    if (m_call != 0 && end == TargetCallResult::End::Lost)
        ++m_owner->m_counts.lost;
    if (end == TargetCallResult::End::Malformed)
        ++m_owner->m_counts.malformed;
    close();
    if (done)
        done(reply);
}

void TargetChannel::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    asio::error_code ignored;
    m_socket.close(ignored);
    m_done = nullptr;
    if (m_owner != nullptr)
        m_owner->onClosed(shared_from_this(), m_isConnected);
}

void TargetChannel::detach()
{
    m_owner = nullptr;
    close();
}

} // namespace mangoshift
