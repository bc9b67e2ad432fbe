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
#include "mangoshift/limitpool.h"
#include "mangoshift/members.h"
#include "mangoshift/outcome.h"
#include "mangoshift/querymachine.h"
#include "mangoshift/targetoutlook.h"
#include "wire/framecodec.h"

namespace mangoshift {

/// Identifies a connection to another VM within this process. Zero stands for this VM itself.
using LinkId = std::uint64_t;
constexpr LinkId LocalLink = 0;

/// Held by the message that a peer's frame becomes, until the message has been handled. From it the
/// link knows how much of what it has read still waits, and stops reading if that is too much.
using FrameShare = std::shared_ptr<const void>;

/// Notifies a duty that another configuration is in force.
struct DocumentChanged
{
    DocumentPtr document;
};

/// Notifies a duty that the set of live VMs has changed.
struct MembersChanged
{
    MemberViewPtr members;
};

/// Requests a duty's part of the state dump as JSON text; `reply` runs on the duty's thread.
struct StateRequest
{
    std::function<void(std::string)> reply;
};

/// The result of a query: an answer, or a refusal of the whole query.
struct QueryReply
{
    /// `isOk()` is false if the whole query was refused; the answer is then empty.
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

/// Replies to a batch, from a home on another VM or in this process.
struct PeerReplies
{
    wire::ShardRepliesT replies;
    FrameShare share = nullptr;
};

/// A frame that a link has read.
struct PeerFrame
{
    LinkId link = LocalLink;
    FramePtr frame;
    /// When the link delivers the frame, which is later than its arrival if the frame was deferred
    /// until the pong of a clock probe.
    Clock::time_point arrivedAt;
    FrameShare share = nullptr;
};

/// Notifies a duty that a VM cannot be reached; frames already sent to it may be lost.
struct PeerLost
{
    VmId vm;
};

/// A batch of shard requests for shards whose home is this VM.
struct HomeBatch
{
    LinkId link = LocalLink;
    /// The time from which the batch's remaining time counts.
    Clock::time_point arrivedAt;
    wire::ShardBatchT batch;
    FrameShare share = nullptr;
};

/// Cancels shard requests of an earlier batch from the same link.
struct HomeCancel
{
    LinkId link = LocalLink;
    wire::CancelShardsT cancel;
    FrameShare share = nullptr;
};

/// Notifies a duty that a link has closed, so that replies to its batches cannot be delivered.
struct LinkLost
{
    LinkId link = LocalLink;
};

/// Sends a frame to a VM and connects first if needed. `PeerLost` reports a failure.
struct SendToVm
{
    VmId vm;
    FramePtr frame;
};

/// Sends a frame on a link; the frame is dropped if the link has closed.
struct SendOnLink
{
    LinkId link = LocalLink;
    FramePtr frame;
};

/// A frame from another VM that is neither a batch, a submission, a cancellation nor a reply to
/// one: about members, the configuration, the store's state or extra requests.
struct ControlFrame
{
    LinkId link = LocalLink;
    FramePtr frame;
    FrameShare share = nullptr;
};

/// A configuration document received from the platform.
struct PlatformDocument
{
    ConfigVersion version = 0;
    std::string text;
};

/// The platform's list of VMs, as JSON text, and when it was requested.
struct PlatformList
{
    std::string text;
    Clock::time_point requestedAt;
};

/// Reports that this process was paused until `pauseEndedAt`, so its state may be stale.
struct ProcessPaused
{
    Clock::time_point pauseEndedAt;
};

/// Confirms that the configuration in force is the newest that other VMs have announced since
/// `pauseEndedAt`.
struct ConfigConfirmed
{
    Clock::time_point pauseEndedAt;
};

/// The number of extra requests for each service, by service name.
using BudgetCounts = std::vector<std::pair<std::string, std::uint32_t>>;

/// Requests a grant of extra requests from the retry pool of this VM's failure domain.
struct BudgetRequest
{
    std::uint64_t sequence = 0;
    BudgetCounts wanted;
};

/// The extra requests that the pool grants in reply to the request with this sequence number.
struct BudgetGrants
{
    std::uint64_t sequence = 0;
    BudgetCounts counts;
};

/// Asks the limit pool of this VM's failure domain for permits, for several requests at once.
struct PermitRequest
{
    std::uint64_t sequence = 0;
    std::vector<PermitAsk> asks;
};

/// What the pool grants in reply to the request with this sequence number, in the order of its
/// asks.
struct PermitReply
{
    std::uint64_t sequence = 0;
    std::vector<PermitOutcome> outcomes;
};

/// What this VM has observed of targets, for the capacity pool of its failure domain. Without
/// observations it only asks for the outlooks.
struct CapacityObservations
{
    std::vector<TargetObservation> targets;
};

/// What the capacity pool says of targets.
struct CapacityOutlooks
{
    std::vector<TargetOutlook> targets;
};

/// Replaces the addresses of the VMs that are contacted first in order to join.
struct SeedsChanged
{
    std::vector<std::string> addresses;
};

/// Starts to notify the other VMs that this VM is leaving.
struct StartLeaving
{
};

/// Requests immediate pings to some VMs of other failure domains.
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
using RegistryMessage =
    std::variant<StateRequest, ControlFrame, PeerLost, LinkLost, BudgetRequest, PermitRequest,
                 CapacityObservations, SeedsChanged, PingOtherDomains, StartLeaving>;

} // namespace mangoshift
