#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>

#include "duties/messages.h"

namespace mangoshift {

/// Requests permits from the limit pool, those of one turn of the event loop together. Belongs to
/// the entry duty's thread.
class PermitRequests
{
public:
    using OnOutcome = std::function<void(const PermitOutcome &)>;
    /// Sends a request to the pool, which replies through `onReply`.
    using RequestFromPool = std::function<void(PermitRequest)>;

    PermitRequests(asio::io_context &io, RequestFromPool requestFromPool);

    /// Sends an ask to the pool. `onOutcome` is called once, later, on this thread. Without a reply
    /// in time nothing is granted.
    void request(PermitAsk ask, OnOutcome onOutcome, Clock::time_point now);
    void onReply(const PermitReply &reply);
    /// Denies the requests whose reply is overdue.
    void sweep(Clock::time_point now);

private:
    struct Pending
    {
        std::vector<OnOutcome> onOutcomes;
        Clock::time_point denyAt;
    };

    void send();

    asio::io_context &m_io;
    RequestFromPool m_requestFromPool;
    std::vector<PermitAsk> m_unsentAsks;
    std::vector<OnOutcome> m_unsentOutcomes;
    std::unordered_map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastSequence = 0;
};

} // namespace mangoshift
