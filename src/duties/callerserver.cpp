#include "duties/callerserver.h"

#include <array>
#include <cerrno>
#include <system_error>
#include <thread>

#include <linux/filter.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "duties/callerpool.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

/// How long the accept queue has to stay empty before the listening socket is closed, so that TCP
/// handshakes in progress can finish.
constexpr milliseconds QueueQuietPeriod{100};
/// The limit on the wait for an empty accept queue if the kernel does not drop new connection
/// attempts.
constexpr milliseconds QueueDrainTimeout{2000};
constexpr milliseconds QueuePollInterval{5};
/// How long a new connection may take to send its first request while the VM stops.
constexpr milliseconds FirstRequestTimeout{500};
constexpr int UnsupportedMediaType = 415;

/// Makes the kernel drop the SYN packet of new connections. Handshakes in progress can finish and
/// be accepted before the socket is closed. Later callers find the port closed when they retransmit
/// the packet. Returns false, with `errno` set, if the filter cannot be attached.
bool dropNewConnections(socket_t listeningSocket)
{
    constexpr std::uint32_t flagsOffset = 13; // In the TCP header.
    constexpr std::uint32_t synAndAck = 0x12;
    constexpr std::uint32_t syn = 0x02;
    constexpr std::uint32_t wholePacket = 0xffffffff;
    std::array<sock_filter, 5> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synAndAck),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, wholePacket),
    }};
    const sock_fprog filter{program.size(), program.data()};
    return ::setsockopt(listeningSocket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) == 0;
}

/// The connection that the current thread serves, or null.
thread_local CallerStream *servedStream = nullptr;

bool hasPendingConnection(socket_t listeningSocket)
{
    pollfd pollFds{listeningSocket, POLLIN, 0};
    return ::poll(&pollFds, 1, 0) > 0 && (pollFds.revents & POLLIN) != 0;
}

} // namespace

CallerServer::CallerServer(const RequestReadLimits &limits)
    : m_limits(limits)
    , m_stopEvent(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (m_stopEvent < 0)
        throw std::system_error(errno, std::generic_category(), "eventfd");
    set_pre_routing_handler([](const httplib::Request &request, httplib::Response &response) {
        if (!request.has_header("Content-Encoding"))
            return HandlerResponse::Unhandled;
        servedStream->stopReading();
        response.status = UnsupportedMediaType;
        return HandlerResponse::Handled;
    });
}

CallerServer::~CallerServer()
{
    ::close(m_stopEvent);
}

bool CallerServer::listenOn(const Address &address, int backlog)
{
    if (!bind_to_port(address.ip, address.port))
        return false;
    // The library's default backlog of five loses connections when a few callers connect at once.
    return ::listen(svr_sock_, backlog) == 0;
}

Clock::time_point CallerServer::requestArrivalTime()
{
    const Clock::time_point now = Clock::now();
    return servedStream == nullptr ? now : now - servedStream->timeSinceLastData();
}

void CallerServer::stopGracefully()
{
    if (svr_sock_ != INVALID_SOCKET) {
        const bool isQueueFinite = dropNewConnections(svr_sock_);
        if (!isQueueFinite)
            logEvent(LogLevel::Warning, "new_connections_not_dropped",
                     {{"error", std::generic_category().message(errno)}});
        // A connection without a request may hold the thread that accepts those in the queue.
        ::eventfd_write(m_stopEvent, 1);
        waitForEmptyAcceptQueue(isQueueFinite ? Steady::time_point::max()
                                              : Steady::now() + QueueDrainTimeout);
    }
    stopAccepting();
}

void CallerServer::stopAccepting()
{
    ::eventfd_write(m_stopEvent, 1);
    stop();
}

void CallerServer::waitForEmptyAcceptQueue(std::chrono::steady_clock::time_point end) const
{
    Steady::time_point quietSince = Steady::now();
    while (Steady::now() < end && Steady::now() - quietSince < QueueQuietPeriod) {
        std::this_thread::sleep_for(QueuePollInterval);
        if (hasPendingConnection(svr_sock_))
            quietSince = Steady::now();
    }
}

bool CallerServer::process_and_close_socket(socket_t socket)
{
    using std::chrono::seconds;
    CallerStream stream(socket, seconds(read_timeout_sec_), seconds(write_timeout_sec_), m_limits);
    servedStream = &stream;
    bool isOpen = true;
    for (bool isFirst = true; isOpen && waitForRequest(stream, isFirst); isFirst = false) {
        const bool isLast = m_isDraining || CallerPool::isRefusing();
        bool isClosedByCaller = false;
        stream.startRequest();
        isOpen = process_request(stream, isLast, isClosedByCaller, nullptr) && !isLast
            && !isClosedByCaller && stream.hasReadHead() && !stream.hasStoppedReading();
    }
    servedStream = nullptr;
    return true;
}

/// Waits until the caller has sent more bytes. Returns false if the connection has to close.
bool CallerServer::waitForRequest(const CallerStream &stream, bool isFirst) const
{
    if (stream.hasBufferedBytes())
        return true;
    std::array<pollfd, 2> pollFds{{{stream.socket(), POLLIN, 0}, {m_stopEvent, POLLIN, 0}}};
    const milliseconds timeout = std::chrono::seconds(keep_alive_timeout_sec_);
    ::poll(pollFds.data(), pollFds.size(), static_cast<int>(timeout.count()));
    if (pollFds[0].revents != 0)
        return true;
    // The first request of a newly accepted connection may still be in transit.
    return pollFds[1].revents != 0 && isFirst
        && ::poll(pollFds.data(), 1, static_cast<int>(FirstRequestTimeout.count())) > 0;
}

} // namespace mangoshift
