#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "http/httpexchange.h"
#include "http/httpparser.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// The headers that mean something between this VM and a target, by their names on the wire.
struct TargetHeaderNames
{
    std::string requestId;
    std::string timeLeft;
    std::string expectedTarget;
};

/// One caller's request as it goes to targets; the same for all of them.
struct ForwardedRequest
{
    std::string id;
    /// The request line and the headers that are the same for all targets, each with its line end.
    std::string head;
    std::string body;
    bool hasBody = false;
    bool isHead = false;
    /// What is left until then is stated to the target.
    Clock::time_point deadline;
};
using ForwardedRequestPtr = std::shared_ptr<const ForwardedRequest>;

/// How a call to a target ended.
struct TargetCallResult
{
    enum class End : std::uint8_t {
        Responded,
        NotConnected, ///< No connection could be made; nothing was sent.
        Lost, ///< The connection ended before the whole answer was in.
        Malformed, ///< What came is not an answer.
        Unsent, ///< Nobody waited any more, and nothing had been sent.
        Abandoned, ///< Nobody waited any more, and no answer came within the patience.
    };

    End end = End::NotConnected;
    /// Whether any byte of the request was given to the network.
    bool isSent = false;
    Clock::time_point sentAt{};
    HttpResponse response; ///< Valid where `end` is `Responded`.
};

using CallNumber = std::uint64_t;

/// Limits and patience of the connections to one target.
struct ChannelOptions
{
    std::size_t maxConnections = 2;
    /// From the opening packet to an established connection.
    std::chrono::milliseconds connectTimeout{500};
    /// How many calls wait for a connection before more are turned away.
    std::size_t maxWaiting = 64;
};

/// Counts of what went over the connections to targets; for the state dump.
struct ChannelCounts
{
    std::uint64_t opened = 0;
    std::uint64_t connectFailures = 0;
    std::uint64_t lost = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unexpectedResponses = 0;
    std::uint64_t silent = 0;
};

class TargetChannel;

/// The connections from this VM to one target, opened as calls need them and kept.
///
/// Runs on one event loop and belongs to its thread. A connection carries one call at a time. An
/// answer that names another request is skipped, and a connection on which bytes come that nobody
/// has asked for is closed. `sweep` has to be called several times a second: it closes what is
/// overdue.
class TargetChannels
{
public:
    using Done = std::function<void(TargetCallResult)>;

    TargetChannels(asio::io_context &io, asio::ip::tcp::endpoint endpoint, std::string targetId,
                   const TargetHeaderNames &names, ChannelOptions options, ChannelCounts &counts);
    /// Closes all connections; the `done` of calls not yet ended is never called.
    ~TargetChannels();
    TargetChannels(const TargetChannels &) = delete;
    TargetChannels &operator=(const TargetChannels &) = delete;

    /// Sends a request on an idle connection, on a new one, or on the next that is free. `done` is
    /// called at most once, never from within `call`. Returns no value, and sends nothing, where
    /// too many calls wait already.
    std::optional<CallNumber> call(ForwardedRequestPtr request, Done done);
    /// Takes in that nobody waits for a call any more. One that was not sent yet is dropped. Of one
    /// that was sent, the connection is kept if the answer still comes within `patience`. `done`
    /// hears what becomes of it.
    void abandon(CallNumber call, std::chrono::milliseconds patience);
    /// Closes connections whose establishment or abandoned call is overdue.
    void sweep(Clock::time_point now);
    /// Lets the calls in flight end and then closes each connection.
    void retire();

    void setMaxConnections(std::size_t connections) { m_options.maxConnections = connections; }
    /// Returns true where no call is under way.
    bool isIdle() const { return m_waiting.empty() && m_idle.size() == m_channels.size(); }
    std::size_t openConnections() const { return m_channels.size(); }

private:
    friend class TargetChannel;
    using ChannelPtr = std::shared_ptr<TargetChannel>;

    struct Waiting
    {
        CallNumber number;
        ForwardedRequestPtr request;
        Done done;
    };

    ChannelPtr takeIdle(Clock::time_point now);
    void open();
    void onFree(const ChannelPtr &channel);
    void onClosed(const ChannelPtr &channel, bool wasConnected);
    void failOneWaiting();

    asio::io_context &m_io;
    asio::ip::tcp::endpoint m_endpoint;
    std::string m_targetId;
    const TargetHeaderNames &m_names;
    ChannelOptions m_options;
    ChannelCounts &m_counts;
    CallNumber m_lastCall = 0;
    bool m_isRetired = false;
    std::size_t m_connecting = 0;
    std::vector<ChannelPtr> m_channels;
    /// The most recently used last.
    std::vector<ChannelPtr> m_idle;
    std::deque<Waiting> m_waiting;
};

} // namespace mangoshift
