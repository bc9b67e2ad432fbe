#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/document.h"
#include "mangoshift/members.h"
#include "mangoshift/outcome.h"
#include "mangoshift/querymachine.h"
#include "wire/framecodec.h"

namespace mangoshift {

/// Names a connection to another VM, within this process. Zero stands for this VM itself.
using LinkId = std::uint64_t;
constexpr LinkId LocalLink = 0;

/// Says that another configuration is in force.
struct DocumentChanged
{
    DocumentPtr document;
};

/// Says that the set of live VMs changed.
struct MembersChanged
{
    MemberViewPtr members;
};

/// Asks a duty for its part of the state dump, as JSON text; `reply` runs on the duty's thread.
struct StateRequest
{
    std::function<void(std::string)> reply;
};

/// What a query's caller gets.
struct QueryReply
{
    /// Not `isOk` where the query was refused as a whole; the answer is then empty.
    Verdict verdict;
    QueryAnswer answer;
};

/// A query that has passed the filters.
struct CallerQuery
{
    DocumentPtr document;
    const Service *service = nullptr;
    std::shared_ptr<const RequestBody> body;
    Clock::time_point deadline;
    std::function<void(QueryReply)> reply;
};

/// Replies to a batch, from a home elsewhere or in this process.
struct PeerReplies
{
    wire::ShardRepliesT replies;
};

/// Says that no connection to a VM can be had at present: what was sent to it may be lost.
struct PeerLost
{
    VmId vm;
};

/// A batch of shard requests for this VM as a home.
struct HomeBatch
{
    LinkId link = LocalLink;
    /// From when the batch's time left counts.
    Clock::time_point arrivedAt;
    wire::ShardBatchT batch;
};

/// Withdraws shard requests of an earlier batch of the same link.
struct HomeCancel
{
    LinkId link = LocalLink;
    wire::CancelShardsT cancel;
};

/// Says that a link is gone: nobody awaits the answers to its batches.
struct LinkLost
{
    LinkId link = LocalLink;
};

/// Sends a frame to a VM, connecting where needed; answered by `PeerLost` if that cannot be done.
struct SendToVm
{
    VmId vm;
    FramePtr frame;
};

/// Sends a frame on a link, if it still stands.
struct SendOnLink
{
    LinkId link = LocalLink;
    FramePtr frame;
};

/// A frame about membership or configuration that came from another VM.
struct ControlFrame
{
    LinkId link = LocalLink;
    FramePtr frame;
};

/// A document as the platform gave it.
struct PlatformDocument
{
    ConfigVersion version = 0;
    std::string text;
};

/// The platform's list of VMs, as JSON text.
struct PlatformList
{
    std::string text;
    Clock::time_point askedAt;
};

/// Says that this process was paused until `wokeAt`: what it knows may be out of date.
struct ProcessPaused
{
    Clock::time_point wokeAt;
};

/// Says that the configuration in force is the newest that others knew of after `wokeAt`.
struct ConfigConfirmed
{
    Clock::time_point wokeAt;
};

/// How many extra requests to the targets of each service.
using BudgetCounts = std::vector<std::pair<std::string, std::uint32_t>>;

/// Asks the pool of this VM's failure domain for extra requests.
struct BudgetRequest
{
    std::uint64_t sequence = 0;
    BudgetCounts wanted;
};

/// What the pool grants of a question of that sequence number.
struct BudgetGrants
{
    std::uint64_t sequence = 0;
    BudgetCounts counts;
};

/// Names other VMs to begin with.
struct SeedsChanged
{
    std::vector<std::string> addresses;
};

/// Tells the other VMs that this one leaves.
struct StartLeaving
{
};

/// Asks for VMs of other failure domains to be pinged at once.
struct PingOtherDomains
{
};

using QueryMessage =
    std::variant<CallerQuery, PeerReplies, PeerLost, DocumentChanged, MembersChanged, StateRequest>;
using HomeMessage = std::variant<HomeBatch, HomeCancel, LinkLost, DocumentChanged, MembersChanged,
                                 ConfigConfirmed, StateRequest>;
using PeerMessage = std::variant<SendToVm, SendOnLink, MembersChanged, StateRequest>;
using ControlMessage = std::variant<ControlFrame, PlatformDocument, PlatformList, ProcessPaused,
                                    StartLeaving, StateRequest>;
using RegistryMessage = std::variant<StateRequest, ControlFrame, PeerLost, LinkLost, BudgetRequest,
                                     SeedsChanged, PingOtherDomains, StartLeaving>;

} // namespace mangoshift
