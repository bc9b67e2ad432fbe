#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
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

/// Asks for tickets; `reply` gets their texts, or why there are none.
struct IssueTickets
{
    std::size_t count = 1;
    std::function<void(tl::expected<std::vector<std::string>, Verdict>)> reply;
};

/// A caller's submission. Without a ticket (`ticket.sequence` zero) it gets one here.
struct CallerSubmission
{
    SubmissionRequest request;
    /// Also given the ticket's text.
    std::function<void(std::string, TicketOutcome)> reply;
};

/// A submission that another VM passed on to this one.
struct PeerTicketRequest
{
    LinkId link = LocalLink;
    /// From when the request's time left counts.
    Clock::time_point arrivedAt;
    wire::TicketRequestT request;
};

/// The answer to a submission that this VM passed on.
struct PeerTicketReply
{
    wire::TicketReplyT reply;
};

/// Says that no byte of an exchange's frame left this VM.
struct ExchangeUnsent
{
    ExchangeId exchange = 0;
};

using TicketMessage =
    std::variant<IssueTickets, CallerSubmission, PeerTicketRequest, PeerTicketReply, PeerReplies,
                 ExchangeUnsent, PeerLost, DocumentChanged, MembersChanged, StateRequest>;

/// Exchange ids with this bit belong to the ticket duty, those without to the query duty.
constexpr ExchangeId TicketExchangeBit = ExchangeId{1} << 63U;

/// The duty that issues tickets, runs the submissions that name its tickets, once each, and passes
/// the others on to their issuers.
class TicketDuty
{
public:
    /// Takes a frame for a VM, which may be this one. Returns false where it could not be handed
    /// on.
    using FrameSink = std::function<bool(const VmId &, FramePtr)>;
    /// Takes the reply to a frame that came on a link.
    using LinkSink = std::function<void(LinkId, FramePtr)>;

    TicketDuty(Member self, PlacementPolicy placement, FrameSink send, LinkSink sendOnLink);
    ~TicketDuty();
    TicketDuty(const TicketDuty &) = delete;
    TicketDuty &operator=(const TicketDuty &) = delete;

    void start();
    void stop();
    /// Returns false where the ring is full.
    bool tryPost(TicketMessage message) { return m_duty.tryPostMessage(message); }
    /// Issues no more tickets: nobody could answer for them once this process is gone.
    void startLeaving() { m_isLeaving = true; }
    /// Returns how many submissions are running or passed on. Any thread may ask.
    std::size_t pending() const { return m_pending + m_duty.ringSize(); }
    /// Returns for how long a ticket may be used after its issue.
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
        m_running; ///< By sequence.
    std::unordered_map<ExchangeId, std::uint64_t> m_exchanges;
    std::unordered_map<ExchangeId, Forward> m_forwards;
};

} // namespace mangoshift
