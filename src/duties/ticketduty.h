#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "duties/messages.h"
#include "duties/ticketwire.h"
#include "mangoshift/submissionmachine.h"
#include "mangoshift/ticketledger.h"

namespace mangoshift {

using SubmissionReply = std::function<void(TicketOutcome)>;

/// Requests tickets; `reply` receives their texts, or the verdict if none are issued.
struct IssueTickets
{
    std::size_t count = 1;
    std::function<void(tl::expected<std::vector<std::string>, Verdict>)> reply;
};

/// A caller's submission. If it has no ticket (`ticket.sequence` is zero), the duty issues one.
struct CallerSubmission
{
    SubmissionRequest request;
    /// Receives the ticket's text and the outcome.
    std::function<void(std::string, TicketOutcome)> reply;
};

/// A submission that another VM forwarded to this VM.
struct PeerTicketRequest
{
    LinkId link = LocalLink;
    /// The time from which the request's remaining time counts.
    Clock::time_point arrivedAt;
    wire::TicketRequestT request;
    FrameShare share = nullptr;
};

/// The reply to a submission that this VM forwarded.
struct PeerTicketReply
{
    wire::TicketReplyT reply;
    FrameShare share = nullptr;
};

/// Notifies the duty that no byte of an exchange's frame was sent.
struct ExchangeUnsent
{
    ExchangeId exchange = 0;
};

using TicketMessage =
    std::variant<IssueTickets, CallerSubmission, PeerTicketRequest, PeerTicketReply, PeerReplies,
                 ExchangeUnsent, PeerLost, DocumentChanged, MembersChanged, StateRequest>;

/// Exchange ids with this bit belong to the ticket duty, those without to the query duty.
constexpr ExchangeId TicketExchangeBit = ExchangeId{1} << 63U;

/// The duty that issues tickets, runs each submission with one of its tickets at most once, and
/// forwards other submissions to the VMs that issued their tickets.
class TicketDuty
{
public:
    /// Forwards a frame to a VM, which may be this one. Returns false if it could not be queued.
    using FrameSink = std::function<bool(const VmId &, FramePtr)>;
    /// Sends a reply on the link on which the request arrived.
    using LinkSink = std::function<void(LinkId, FramePtr)>;

    TicketDuty(Member self, PlacementPolicy placement, FrameSink send, LinkSink sendOnLink);
    ~TicketDuty();
    TicketDuty(const TicketDuty &) = delete;
    TicketDuty &operator=(const TicketDuty &) = delete;

    void start();
    void stop();
    /// Returns false if the ring is full.
    bool tryPost(TicketMessage message) { return m_duty.tryPostMessage(message); }
    /// Posts a message that is never rejected; see `Duty::postLatest`.
    template <typename Kind>
    void postLatest(Kind value)
    {
        m_duty.postLatest(std::move(value));
    }
    /// Refuses requests for tickets from now on, because the outcomes of the tickets would be lost
    /// when this process ends. A submission without a ticket is still issued one.
    void startLeaving() { m_isLeaving = true; }
    /// Returns the number of submissions that are running or forwarded, plus queued messages. Safe
    /// to call from any thread.
    std::size_t pending() const { return m_pending + m_duty.ringSize(); }
    /// Returns how long a ticket is valid after it was issued.
    std::chrono::milliseconds ticketLifetime() const { return m_limits.lifetime; }

private:
    using Timer = asio::basic_waitable_timer<Clock>;
    struct RunningSubmission;
    struct Forward
    {
        VmId issuer;
        SubmissionReply reply;
        std::unique_ptr<Timer> timer;
    };

    void handle(TicketMessage &message);
    void onIssueTickets(IssueTickets &message);
    void onCallerSubmission(CallerSubmission &message);
    void onPeerRequest(PeerTicketRequest &message);
    void onPeerReply(PeerTicketReply &message);
    void onHomeReplies(const PeerReplies &message);
    void onExchangeUnsent(ExchangeId exchange);
    void onPeerLost(const VmId &vm);
    void submit(SubmissionRequest request, SubmissionReply reply);
    void forward(SubmissionRequest &request, SubmissionReply reply);
    void endForward(ExchangeId exchange, TicketOutcome outcome);
    void run(SubmissionRequest request, SubmissionReply reply, Clock::time_point expiry);
    tl::expected<SubmissionPlan, Verdict> planOf(const SubmissionRequest &request) const;
    void perform(std::uint64_t sequence, SubmissionActions actions);
    void sendSubmission(std::uint64_t sequence, const SendSubmission &action);
    void finish(std::uint64_t sequence, TicketOutcome outcome);
    void armPruneTimer();
    std::string stateJson() const;

    Member m_self;
    PlacementPolicy m_placement;
    FrameSink m_send;
    LinkSink m_sendOnLink;
    TicketLimits m_limits;
    Duty<TicketMessage> m_duty;
    Timer m_pruneTimer;
    std::atomic<bool> m_isLeaving{false};
    std::atomic<std::size_t> m_pending{0};
    TicketLedger m_ledger;
    RetryBudget m_budget;
    DocumentPtr m_document;
    MemberViewPtr m_members;
    ExchangeId m_lastExchange;
    std::unordered_map<std::uint64_t, std::unique_ptr<RunningSubmission>>
        m_running; ///< Keyed by the ticket's sequence number.
    std::unordered_map<ExchangeId, std::uint64_t> m_exchanges;
    std::unordered_map<ExchangeId, Forward> m_forwards;
};

} // namespace mangoshift
