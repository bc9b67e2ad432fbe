#include "http/targetchannel.h"

#include <array>
#include <charconv>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "base/atexit.h"
#include "http/socketoptions.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

/// Responses of targets with larger headers are malformed.
constexpr std::size_t MaxHeaderBytes = 64U << 10U;
/// How long before the target's announced keep-alive timeout an idle connection stops being reused,
/// so that a request is not sent while the target closes the connection.
constexpr std::chrono::milliseconds KeepAliveMargin{700};
constexpr std::size_t ReadBytes = 64U << 10U;
/// Together more than the largest response of a target.
constexpr std::size_t MaxReadsAtOnce = 80;

/// Returns the value of `timeout=N` in a Keep-Alive header, or no value if it is missing.
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
    const auto remainingMs = std::max<std::int64_t>(
        1, std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now).count());
    std::string bytes;
    bytes.reserve(request.head.size() + request.body.size() + 128);
    bytes += request.head;
    bytes.append(names.timeLeft).append(": ").append(std::to_string(remainingMs)).append("\r\n");
    bytes.append(names.expectedTarget).append(": ").append(targetId).append("\r\n");
    if (request.hasBody)
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    bytes.append("\r\n");
    bytes += request.body;
    return bytes;
}

} // namespace

TargetChannel::TargetChannel(asio::io_context &io, TargetChannels &owner)
    : m_owner(&owner)
    , m_socket(io)
    , m_parser(HttpParser::Side::Responses, {MaxHeaderBytes, 0})
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
    m_lastResponseAt = Clock::now();
    prepareSocket(m_socket);
    waitForData();
    m_owner->onAvailable(shared_from_this());
}

void TargetChannel::send(CallNumber number, ForwardedRequestPtr request, TargetChannels::Done done,
                         const TargetChannels::OnSent &onSent)
{
    m_call = number;
    m_request = std::move(request);
    m_done = std::move(done);
    m_sentAt = Clock::now();
    m_closeDeadline = Clock::time_point::max();
    m_parser.setLimits({MaxHeaderBytes, m_request->maxResponseBody});
    m_parser.setIsHeadResponse(m_request->isHead);
    m_unwritten = requestBytes(*m_request, m_owner->m_names, m_owner->m_targetId, m_sentAt);
    asio::error_code error;
    const std::size_t written = m_socket.write_some(asio::buffer(m_unwritten), error);
    m_unwritten.erase(0, written);
    // A failed write is handled when reading the socket reports the error.
    m_isSent = written > 0 || !error || error == asio::error::would_block;
    if (!m_isSent)
        return;
    if (onSent)
        onSent();
    if (!m_unwritten.empty())
        writeRemaining();
}

void TargetChannel::writeRemaining()
{
    asio::async_write(m_socket, asio::buffer(m_unwritten),
                      [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                          if (self->m_isClosed)
                              return;
                          if (error)
                              self->finishWithoutResponse(TargetCallResult::End::Lost);
                          else
                              self->m_unwritten.clear();
                      });
}

void TargetChannel::waitForData()
{
    if (std::exchange(m_isWaitingForData, true))
        return;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code &error) {
                            self->m_isWaitingForData = false;
                            if (self->m_isClosed)
                                return;
                            if (error) {
                                self->finishWithoutResponse(TargetCallResult::End::Lost);
                                return;
                            }
                            bool isHandled = false;
                            const AtExit end([&] {
                                if (!isHandled && !self->m_isClosed)
                                    self->finishWithoutResponse(TargetCallResult::End::Lost);
                            });
                            self->readSocket();
                            isHandled = true;
                        });
}

std::size_t TargetChannel::readSocket()
{
    static thread_local std::array<char, ReadBytes> buffer;
    asio::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        waitForData();
        return 0;
    }
    if (error) {
        if (error == asio::error::eof && m_call != 0 && m_parser.hasHeaders()) {
            m_parser.finish();
            if (m_parser.isComplete()) {
                handleResponse(true);
                if (!m_isClosed)
                    close();
                return 0;
            }
        }
        finishWithoutResponse(TargetCallResult::End::Lost);
        return 0;
    }
    const std::shared_ptr<TargetChannel> self = shared_from_this();
    parseBytes(buffer.data(), size);
    if (!m_isClosed)
        waitForData();
    return size;
}

void TargetChannel::readArrived()
{
    const std::shared_ptr<TargetChannel> self = shared_from_this();
    const CallNumber call = m_call;
    // Not more reads than this, so that a target that sends on and on does not hold up the thread.
    for (std::size_t reads = 0; reads < MaxReadsAtOnce; ++reads)
        if (!m_isConnected || m_isClosed || m_call != call || readSocket() == 0)
            return;
}

void TargetChannel::parseBytes(const char *bytes, std::size_t size)
{
    while (size > 0 && !m_isClosed) {
        if (m_call == 0 || !m_isSent) {
            // No request was sent, so requests and responses on this connection are out of sync.
            ++m_owner->m_counts.unexpectedResponses;
            finishWithoutResponse(TargetCallResult::End::Lost);
            return;
        }
        const std::size_t consumed = m_parser.feed(bytes, size);
        bytes += consumed;
        size -= consumed;
        if (m_parser.fault() != HttpFault::None) {
            finishWithoutResponse(TargetCallResult::End::Malformed);
            return;
        }
        if (!m_parser.isComplete())
            return;
        handleResponse(size == 0);
    }
}

void TargetChannel::handleResponse(bool isBufferConsumed)
{
    HttpResponse response = m_parser.takeResponse();
    m_lastResponseAt = Clock::now();
    const std::string_view echoedId = response.headers.value(m_owner->m_names.requestId);
    const bool isForeign = !echoedId.empty() && echoedId != m_request->id;
    if (m_owner->m_onResponse)
        m_owner->m_onResponse(response, isForeign ? std::nullopt : std::optional(m_sentAt));
    if (isForeign) {
        ++m_owner->m_counts.unexpectedResponses;
        if (!response.keepAlive)
            finishWithoutResponse(TargetCallResult::End::Lost);
        return;
    }
    updateReuseDeadline(response.headers);
    // Bytes after the response belong to no request, so the connection is out of sync.
    const bool isReusable = response.keepAlive && m_unwritten.empty() && isBufferConsumed;
    TargetCallResult result{TargetCallResult::End::Responded, true, m_sentAt, std::move(response)};
    const TargetChannels::Done done = std::exchange(m_done, nullptr);
    m_call = 0;
    m_request = nullptr;
    m_closeDeadline = Clock::time_point::max();
    const std::shared_ptr<TargetChannel> self = shared_from_this();
    if (isReusable)
        m_owner->onAvailable(self);
    else
        close();
    if (done)
        done(std::move(result));
}

void TargetChannel::updateReuseDeadline(const HttpHeaders &headers)
{
    const auto timeout = keepAliveTimeout(headers.value("keep-alive"));
    m_reuseDeadline =
        timeout ? m_lastResponseAt + *timeout - KeepAliveMargin : Clock::time_point::max();
}

void TargetChannel::abandon(Clock::time_point closeDeadline)
{
    m_closeDeadline = closeDeadline;
}

bool TargetChannel::isEstablished() const
{
    asio::error_code error;
    m_socket.remote_endpoint(error);
    return !error;
}

bool TargetChannel::closeIfOverdue(Clock::time_point now, std::chrono::milliseconds connectTimeout)
{
    if (!m_isConnected) {
        if (now - m_openedAt >= connectTimeout && !isEstablished())
            close();
        return false;
    }
    const auto isOverdue = [this, now] { return m_call != 0 && now >= m_closeDeadline; };
    if (isOverdue())
        readArrived();
    if (m_isClosed || !isOverdue())
        return false;
    finishWithoutResponse(TargetCallResult::End::Abandoned);
    return true;
}

void TargetChannel::finishWithoutResponse(TargetCallResult::End end)
{
    if (m_isClosed)
        return;
    const TargetChannels::Done done = std::exchange(m_done, nullptr);
    TargetCallResult result{end, m_isSent, m_sentAt, {}};
    if (!m_isSent)
        result.end = TargetCallResult::End::NotConnected;
    if (m_call != 0 && end == TargetCallResult::End::Lost)
        ++m_owner->m_counts.lost;
    if (end == TargetCallResult::End::Malformed)
        ++m_owner->m_counts.malformed;
    close();
    if (done)
        done(result);
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
