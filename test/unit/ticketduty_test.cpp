#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "duties/ticketduty.h"

using namespace mangoshift;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds TimeLeft{200};

DocumentPtr documentWithOneBookingShard()
{
    Document document;
    document.kinds = {{"booking", 0, false}};
    document.targets = {{"t", "127.0.0.1:1", "a", 1, 1}};
    Service service;
    service.name = "booking";
    service.shards = {{"0", shardKey("booking", "0"), {0}}};
    document.services = {service};
    return std::make_shared<IndexedDocument>(std::move(document));
}

/// A ticket duty whose thread can be blocked, as in a process that is paused.
class BlockableDuty
{
public:
    BlockableDuty()
        : m_duty(
            Member{"self", "a", "r", "", 1, false}, {RendezvousHomes{}},
            [this](const VmId &, const FramePtr &) {
                ++m_sentToHomes;
                return false;
            },
            [this](LinkId, const FramePtr &frame) {
                m_reply.set_value(*frame->body.AsTicketReply());
            })
    {
        m_duty.start();
        m_duty.tryPost(DocumentChanged{documentWithOneBookingShard()});
        m_duty.tryPost(MembersChanged{
            std::make_shared<MemberView>(MemberView{1, {Member{"self", "a", "r", "", 1, false}}})});
        m_duty.tryPost(IssueTickets{1, [this](auto tickets) { m_ticket.set_value(*tickets); }});
    }
    ~BlockableDuty() { m_duty.stop(); }
    BlockableDuty(const BlockableDuty &) = delete;
    BlockableDuty &operator=(const BlockableDuty &) = delete;

    void blockThread()
    {
        m_duty.tryPost(
            StateRequest{[this](const std::string &) { m_unblock.get_future().wait(); }});
    }
    void unblockThread() { m_unblock.set_value(); }

    /// Posts a submission that another VM forwarded and that arrives now.
    void submit()
    {
        wire::TicketRequestT request;
        request.exchange = 1;
        request.ticket = m_ticket.get_future().get().front();
        request.service = "booking";
        request.deadline_us = static_cast<std::uint32_t>(microseconds(TimeLeft).count());
        m_duty.tryPost(PeerTicketRequest{7, Clock::now(), std::move(request)});
    }

    wire::TicketReplyT reply() { return m_reply.get_future().get(); }
    /// Must be called after `reply`, which synchronizes with the duty's thread.
    int sentToHomes() const { return m_sentToHomes; }

private:
    std::promise<std::vector<std::string>> m_ticket;
    std::promise<void> m_unblock;
    std::promise<wire::TicketReplyT> m_reply;
    int m_sentToHomes = 0;
    TicketDuty m_duty;
};

} // namespace

TEST_CASE("A submission forwarded by another VM keeps the deadline it arrived with")
{
    GIVEN("a process that is paused between arrival and processing")
    {
        PausedClock clock;
        BlockableDuty duty;
        duty.blockThread();
        duty.submit();
        clock.advance(seconds(1));
        duty.unblockThread();

        SECTION("the reply says not run, and no home receives the submission")
        {
            const wire::TicketReplyT reply = duty.reply();
            CHECK(reply.execution == static_cast<std::uint8_t>(Execution::NotRun));
            CHECK(reply.reason == static_cast<std::uint8_t>(Reason::DeadlineExceeded));
            CHECK(duty.sentToHomes() == 0);
        }
    }
}
