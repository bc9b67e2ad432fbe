#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "duties/messages.h"

namespace mangoshift {

/// Another VM's question for the state of the store, which may wait for a change.
struct PendingStatePull
{
    LinkId link = LocalLink;
    std::uint64_t sequence = 0;
    std::uint64_t afterRevision = 0;
    Clock::time_point replyBy;
};

/// Keeps the questions of other VMs until there is something to tell, or their time has come. The
/// answers themselves come from the owner, on whose thread it runs.
class PendingStatePulls
{
public:
    using Reply = std::function<void(const PendingStatePull &)>;

    PendingStatePulls(asio::io_context &io, Reply reply);

    /// Keeps a question. One more than the limit takes the place of the oldest, which is answered.
    void add(const PendingStatePull &pull);
    /// Answers all that were asked for a revision before this one.
    void onRevision(std::uint64_t revision);
    void onLinkLost(LinkId link);
    std::size_t size() const { return m_pulls.size(); }

private:
    void armTimer();
    void replyToDue();

    Reply m_reply;
    asio::basic_waitable_timer<Clock> m_timer;
    std::vector<PendingStatePull> m_pulls;
};

} // namespace mangoshift
