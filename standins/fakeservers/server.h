#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "fakeservers/eventfile.h"
#include "http/httpexchange.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// How the servers of a process behave while they are healthy.
struct ServerOptions
{
    /// How long a request takes; none at all where it is zero.
    std::chrono::milliseconds serviceTime{0};
    std::size_t slots = 0; ///< Requests run at once; any number where it is zero.
    std::size_t queueLimit = 8; ///< Requests that wait for a slot before more are refused.
    std::size_t maxConnections = 1000;
    /// Each server stands still for `pause` once in `pauseInterval`, at a moment of its own.
    std::chrono::milliseconds pause{0};
    std::chrono::milliseconds pauseInterval{4500};
    bool hasPerRequestRecords = false;
};

class ServerConnection;

/// One server: its slots, its queue, what it has run. Belongs to the process's only thread.
class Server
{
public:
    Server(asio::io_context &io, std::string id, std::string service, const ServerOptions &options,
           EventFile &events);

    /// Listens at once. Throws where the address cannot be listened on.
    void open(const asio::ip::tcp::endpoint &endpoint);
    /// Ends the server: its address refuses connections and those that stand are reset.
    void close();
    /// Begins anew at the same address, as another server that knows nothing of the one before.
    void replaceWith(std::string id, std::string service);

    void onRequest(const std::shared_ptr<ServerConnection> &connection, const HttpRequest &request);
    /// Drops what a connection that has closed had asked for.
    void onDisconnected(const std::shared_ptr<ServerConnection> &connection);

    const std::string &id() const { return m_id; }
    /// "ok", "shed" (503, not run), "lose" (runs, then resets), "extra" (a second answer behind
    /// each), "cut" (half an answer), "fail" (500), "mute" (runs, never answers), "slow" (five
    /// times the work).
    std::string mode = "ok";
    std::uint64_t arrivals = 0;
    /// By request, how often it was run.
    std::map<std::string, std::size_t> runCounts;

private:
    using ConnectionPtr = std::shared_ptr<ServerConnection>;

    struct Job
    {
        std::uint64_t number = 0;
        ConnectionPtr connection;
        std::string requestId;
        Clock::time_point deadline;
        std::unique_ptr<asio::basic_waitable_timer<Clock>> timer;
    };

    void accept();
    void respondToHealthCheck(const ConnectionPtr &connection) const;
    void refuse(const ConnectionPtr &connection, const std::string &requestId, int status);
    void startJob(Job job);
    void startQueuedJobs();
    /// A job that was dropped meanwhile is not there any more, and nothing happens.
    void finishJob(std::uint64_t number);
    void respondTo(const Job &job, bool isInTime);
    std::chrono::milliseconds remainingPause(Clock::time_point now) const;
    std::string formatResponse(const std::string &requestId, int status);
    void recordEvent(const char *event, const std::string &requestId,
                     const std::string &details = {});

    asio::io_context &m_io;
    std::string m_id;
    std::string m_service;
    const ServerOptions &m_options;
    EventFile &m_events;
    asio::ip::tcp::endpoint m_endpoint;
    std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
    std::vector<std::weak_ptr<ServerConnection>> m_connections;
    std::uint64_t m_lastJob = 0;
    std::vector<Job> m_running;
    std::deque<Job> m_queued;
    std::uint64_t m_responses = 0;
    std::chrono::milliseconds m_pauseOffset;
};

} // namespace mangoshift
