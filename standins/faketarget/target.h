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
#include "mangoshift/document.h"
#include "servedconnection.h"

namespace mangoshift {

/// Counts what a target has received and run.
struct Record
{
    std::uint64_t queriesRun = 0;
    std::uint64_t shed = 0;
    std::uint64_t refusedDraining = 0;
    std::size_t mostRunning = 0; ///< The most requests that ran concurrently.
    std::uint64_t cancelled = 0;
    std::uint64_t connectionsOpened = 0;
    std::size_t mostConnections = 0; ///< The most connections open concurrently.
    std::uint64_t connectionsRefused = 0;
    /// How often each submission ran, by its Idempotency-Key header or, without one, its request
    /// id.
    std::map<std::string, std::uint64_t> submissions;
};

/// A target on its own address.
class FakeTarget : public std::enable_shared_from_this<FakeTarget>
{
public:
    FakeTarget(asio::io_context &io, const Target &target, Behaviour behaviour);

    /// Starts to listen; does nothing if the target listens already.
    void start();
    /// Closes the listening socket and all connections, as the kernel does for a killed process.
    void shutDown();

    Behaviour &behaviour() { return m_behaviour; }
    /// Never responds again on the connections that are open now; new connections work.
    void silenceOpenConnections() { m_silencedConnections = m_connections; }
    /// Returns the record in the format of `GET /records`.
    nlohmann::json recordJson() const;

private:
    using ConnectionPtr = std::shared_ptr<ServedConnection>;

    /// A query or submission that is queued or running.
    struct Work
    {
        ConnectionPtr connection;
        HttpRequest request;
        std::string shard;
        std::string service;
        std::chrono::steady_clock::time_point deadline;
        bool isSubmission = false;
        bool isCancelled = false;
        /// Expires when the run ends; null while the work is queued.
        std::shared_ptr<asio::steady_timer> timer;
    };
    using WorkPtr = std::shared_ptr<Work>;

    void accept();
    void closeConnections();
    void admitConnection(asio::ip::tcp::socket socket);
    void onRequest(const ConnectionPtr &connection, HttpRequest request);
    /// Parses `/v1/services/S/shards/N/query` or `…/submit` into `work`. Returns false if the
    /// path is not a shard's path.
    static bool parsePath(const std::string &path, Work &work);
    /// Runs or queues the work, or refuses it if the target drains, does not hold the snapshot or
    /// has no free capacity.
    void admitWork(const WorkPtr &work);
    /// Returns true with the given probability.
    bool shouldInject(double probability);
    void run(const WorkPtr &work);
    void finish(const WorkPtr &work);
    void respondTo(const Work &work);
    /// Starts queued work while slots are free; refuses work whose deadline has passed.
    void startQueued();
    /// Cancels the query with the given X-Call-Id header; submissions cannot be cancelled.
    void cancel(const std::string &callId);
    /// Returns a response that states the snapshots held.
    HttpResponse makeResponse(int status) const;
    /// Responds that the work has not run.
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
