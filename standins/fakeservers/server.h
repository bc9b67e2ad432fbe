#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
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
    /// How long a request runs. With zero the response is sent at once.
    std::chrono::milliseconds serviceTime{0};
    /// If it is longer than `serviceTime`, each request runs for a random time between both.
    std::chrono::milliseconds maxServiceTime{0};
    std::size_t slots = 0; ///< Requests that run concurrently; 0 means no limit.
    std::size_t queueLimit = 8; ///< Requests that may wait for a slot; further ones are refused.
    std::size_t maxConnections = 1000; ///< Further connections are reset.
    /// Each server pauses for `pause` once per `pauseInterval`, at an offset that depends on the id
    /// with which it was created. Requests that start during a pause run longer by the rest of it.
    std::chrono::milliseconds pause{0};
    std::chrono::milliseconds pauseInterval{4500};
    /// Whether the records of a response also depend on the request id.
    bool hasPerRequestRecords = false;
};

class ServerConnection;

/// One server with its slots, queue and run counts. Used from the process's only thread.
class Server
{
public:
    Server(asio::io_context &io, std::string id, std::string service, const ServerOptions &options,
           EventFile &events);

    /// Starts to listen. Throws if the address cannot be listened on.
    void open(const asio::ip::tcp::endpoint &endpoint);
    /// Shuts the server down: its address refuses connections, and open connections are reset.
    void close();
    /// Shuts this server down and starts another one at the same address, in mode "ok" and with no
    /// requests counted. `arrivals` keeps counting.
    void replaceWith(std::string id, std::string service);

    void onRequest(const std::shared_ptr<ServerConnection> &connection, const HttpRequest &request);
    /// Cancels the running and queued requests of a closed connection.
    void onDisconnected(const std::shared_ptr<ServerConnection> &connection);

    const std::string &id() const { return m_id; }
    /// One of "ok", "shed" (refuses with 503), "lose" (runs the request, then resets the
    /// connection), "extra" (sends each response twice), "cut" (omits the last record of the body
    /// and closes the connection), "fail" (runs the request, responds with 500), "mute" (runs the
    /// request, never responds), "slow" (takes five times as long), "endless-head" and
    /// "endless-body" (runs the request, then sends headers or a body until the connection is
    /// closed), "leaving" (says in each response that it leaves), "pause" (refuses with 503,
    /// asking for a pause), "limit=N" (names a limit of N requests a second in each response),
    /// "late=N" (responds after N ms), "no-stamp" (runs the request, responds with an empty stamp),
    /// "unknown" (runs the request, responds with 404 without a stamp), "status=TEXT" (runs the
    /// request, responds with TEXT for the status code) and "line=TEXT" (runs the request, responds
    /// with TEXT as a further line of the head).
    std::string mode = "ok";
    /// The number of requests received, except health checks.
    std::uint64_t arrivals = 0;
    /// How often each request was received, by request id.
    std::map<std::string, std::size_t> arrivalCounts;
    /// How often each request was run, by request id.
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
    /// Responds to the job and frees its slot; does nothing if the job was cancelled meanwhile.
    void finishJob(std::uint64_t number);
    /// Sends the response that `mode` selects; a job that is not in time gets a 504 response.
    void respondTo(const Job &job, bool isInTime);
    std::chrono::milliseconds drawServiceTime();
    std::chrono::milliseconds remainingPause(Clock::time_point now) const;
    int statusFor(bool isInTime) const;
    /// Adds what the server says about itself.
    void addNoticeHeaders(HttpResponse &response) const;
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
    std::uint64_t m_lastJobNumber = 0;
    std::vector<Job> m_running;
    std::deque<Job> m_queued;
    std::uint64_t m_responses = 0;
    std::chrono::milliseconds m_pauseOffset;
    std::minstd_rand m_random;
};

} // namespace mangoshift
