#include <array>
#include <future>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "duties/peerduty.h"
#include "wire/framecodec.h"

using namespace mangoshift;
using asio::ip::tcp;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// A fake VM that sends and receives single frames of the protocol between VMs.
class FakeVm
{
public:
    explicit FakeVm(const tcp::endpoint &other)
        : m_socket(m_io)
    {
        m_socket.connect(other);
    }

    template <typename Body>
    void send(Body body)
    {
        asio::write(m_socket, asio::buffer(encodeFrame(*makeFrame(std::move(body)))));
    }

    FramePtr receive()
    {
        std::uint8_t header[4];
        asio::read(m_socket, asio::buffer(header));
        std::vector<std::uint8_t> body(decodeFrameLength(header).value());
        asio::read(m_socket, asio::buffer(body));
        return std::move(decodeFrame(body.data(), body.size()).value());
    }

private:
    asio::io_context m_io;
    tcp::socket m_socket;
};

Address freeAddress()
{
    asio::io_context io;
    const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

std::uint64_t wireTime(microseconds time)
{
    return static_cast<std::uint64_t>(time.count());
}

wire::HelloT helloOf(const std::string &vm)
{
    wire::HelloT hello;
    hello.protocol = PeerProtocolVersion;
    hello.vm = vm;
    hello.incarnation = 7;
    return hello;
}

wire::ShardBatchT batchOf(microseconds sentAt, milliseconds deadline)
{
    wire::ShardBatchT batch;
    batch.exchange = 1;
    batch.sent_at_us = wireTime(sentAt);
    batch.deadline_us = static_cast<std::uint32_t>(microseconds(deadline).count());
    return batch;
}

} // namespace

TEST_CASE("The transit delay of the first frames from a new VM is subtracted")
{
    GIVEN("a VM whose first batch arrives with its Hello")
    {
        const PausedClock clock;
        std::promise<std::uint32_t> deadlineOfFirst;
        const Address address = freeAddress();
        PeerDuty duty({}, address,
                      {[&](LinkId, const FramePtr &frame, Clock::time_point) {
                           deadlineOfFirst.set_value(frame->body.AsShardBatch()->deadline_us);
                       },
                       [](const VmId &) {}, [](LinkId) {}, [](ExchangeId) {}});
        duty.start();
        FakeVm vm({asio::ip::make_address(address.ip), address.port});
        const microseconds sentAt = std::chrono::hours(3);
        vm.send(helloOf("other"));
        vm.send(batchOf(sentAt, milliseconds(500)));
        const FramePtr ping = vm.receive();
        REQUIRE(ping->body.AsPing() != nullptr);
        wire::PongT pong;
        pong.sequence = ping->body.AsPing()->sequence;

        SECTION("a pong two seconds after the batch leaves the batch no time")
        {
            pong.sent_at_us = wireTime(sentAt + std::chrono::seconds(2));
            vm.send(pong);
            CHECK(deadlineOfFirst.get_future().get() == 0);
        }

        SECTION("an immediate pong leaves the batch all of its time")
        {
            pong.sent_at_us = wireTime(sentAt);
            vm.send(pong);
            CHECK(microseconds(deadlineOfFirst.get_future().get()) == milliseconds(500));
        }
        duty.stop();
    }
}
