#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "duties/messages.h"
#include "entry/statewire.h"

namespace mangoshift {

/// Another VM's request for the state of the store, which may wait for a change.
struct PendingStatePull
{
    LinkId link = LocalLink;
    std::uint64_t sequence = 0;
    KnownState known;
    Clock::time_point replyBy;
};

/// Holds the state pulls of other VMs until the state changes, is known to hold still, or their
/// wait ends. The owner sends the replies. Belongs to the owner's thread.
class PendingStatePulls
{
public:
    using Reply = std::function<void(const PendingStatePull &)>;

    PendingStatePulls(asio::io_context &io, Reply reply);

    /// Holds a pull. If the limit is reached, the oldest pull is replied to at once.
    void add(const PendingStatePull &pull);
    /// Replies to all pulls of VMs that know less than `state`.
    void onState(const KnownState &state);
    /// Replies to all pulls, as the state is known to hold still.
    void replyToAll();
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
