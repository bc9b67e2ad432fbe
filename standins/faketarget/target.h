#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "faketarget/behaviour.h"
#include "httplistener.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// What a target has seen and done.
struct Record
{
    std::uint64_t queriesRun = 0;
    std::uint64_t shed = 0;
    std::uint64_t refusedDraining = 0;
    std::size_t mostRunning = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t connectionsOpened = 0;
    std::size_t mostConnections = 0;
    std::uint64_t connectionsRefused = 0;
    /// How often each submission ran, by its Idempotency-Key, else by its request id.
    std::map<std::string, std::uint64_t> submissions;
};

/// One target, on its own address.
class FakeTarget : public std::enable_shared_from_this<FakeTarget>
{
public:
    FakeTarget(asio::io_context &io, const Target &target, Behaviour behaviour);

    /// Begins to listen; does nothing where it already does.
    void start();
    /// Closes everything, as the kernel does for a process that was killed.
    void shutDown();

    Behaviour &behaviour() { return m_behaviour; }
    /// Leaves the connections now open without an answer for good; new ones work.
    void silenceOpenConnections() { m_silencedConnections = m_connections; }
    nlohmann::json recordJson() const;

private:
    using ConnectionPtr = std::shared_ptr<ServedConnection>;

    struct Work
    {
        ConnectionPtr connection;
        HttpRequest request;
        std::string shard;
        std::string service;
        std::chrono::steady_clock::time_point deadline;
        bool isSubmission = false;
        bool isCancelled = false;
        /// Ends the run; null while the work is queued.
        std::shared_ptr<asio::steady_timer> timer;
    };
    using WorkPtr = std::shared_ptr<Work>;

    void accept();
    void closeConnections();
    void admitConnection(asio::ip::tcp::socket socket);
    void onRequest(const ConnectionPtr &connection, HttpRequest request);
    /// Reads `/v1/services/S/shards/N/query` or `…/submit`.
    static bool parsePath(const std::string &path, Work &work);
    void admitWork(const WorkPtr &work);
    /// Returns true in that share of calls.
    bool shouldInject(double probability);
    void run(const WorkPtr &work);
    void finish(const WorkPtr &work);
    void respondTo(const Work &work);
    void startQueued();
    void cancel(const std::string &callId);
    HttpResponse makeResponse(int status) const;
    void refuse(const WorkPtr &work, int status,
                const std::vector<std::pair<std::string, std::string>> &headers);

    asio::io_context &m_io;
    Target m_target;
    Behaviour m_behaviour;
    Record m_record;
    asio::ip::tcp::acceptor m_acceptor;
    std::mt19937_64 m_random;
    std::set<ConnectionPtr> m_connections;
    std::set<ConnectionPtr> m_silencedConnections;
    std::set<WorkPtr> m_running;
    std::deque<WorkPtr> m_queue;
};

} // namespace mangoshift
