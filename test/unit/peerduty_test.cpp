#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <thread>
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

    /// Sends bytes. Returns false if the other VM has closed the connection.
    bool sendBytes(const std::string &bytes)
    {
        asio::error_code error;
        asio::write(m_socket, asio::buffer(bytes), error);
        return !error;
    }

    /// Waits until the other VM closes the connection; calls `meanwhile` again and again. Returns
    /// false after 30 s, which only bounds how long a failing test takes.
    bool isClosedByOther(const std::function<void()> &meanwhile = [] {})
    {
        m_socket.non_blocking(true);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (std::chrono::steady_clock::now() < end) {
            std::array<char, 4096> buffer{};
            asio::error_code error;
            m_socket.read_some(asio::buffer(buffer), error);
            if (error && error != asio::error::would_block)
                return true;
            meanwhile();
        }
        return false;
    }

    /// Ends what another thread sends or receives.
    void disconnect()
    {
        asio::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
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
                      {[&](const PeerFrame &received) {
                           deadlineOfFirst.set_value(
                               received.frame->body.AsShardBatch()->deadline_us);
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

TEST_CASE("What a VM holds for a peer is bounded in bytes and in time")
{
    GIVEN("a VM to which another program connects")
    {
        PausedClock clock;
        const Address address = freeAddress();
        std::mutex mutex;
        std::vector<PeerFrame> unhandled;
        PeerDuty duty({}, address,
                      {[&](PeerFrame received) {
                           const std::lock_guard lock(mutex);
                           unhandled.push_back(std::move(received));
                       },
                       [](const VmId &) {}, [](LinkId) {}, [](ExchangeId) {}});
        duty.start();
        FakeVm vm({asio::ip::make_address(address.ip), address.port});
        // Beside load a yield takes long, and the timers of the VM wake by real time: so time
        // passes no more slowly than that.
        auto passedAt = std::chrono::steady_clock::now();
        const auto passTime = [&clock, &passedAt] {
            const auto now = std::chrono::steady_clock::now();
            clock.advance(std::max<Clock::duration>(milliseconds(1), now - passedAt));
            passedAt = now;
            std::this_thread::yield();
        };
        const std::string longestFrame{'\0', '\0', '\x80', '\0'};
        const auto introduce = [&] {
            vm.send(helloOf("other"));
            const FramePtr ping = vm.receive();
            wire::PongT pong;
            pong.sequence = ping->body.AsPing()->sequence;
            pong.sent_at_us = 1;
            vm.send(pong);
        };

        SECTION("a long frame before Hello closes the link at its length")
        {
            vm.sendBytes(longestFrame);
            CHECK(vm.isClosedByOther());
        }

        SECTION("a link without Hello is closed after a while")
        {
            CHECK(vm.isClosedByOther(passTime));
        }

        SECTION("a link whose peer does not reply to the clock probe is closed after a while")
        {
            vm.send(helloOf("other"));
            REQUIRE(vm.receive()->body.AsPing() != nullptr);
            CHECK(vm.isClosedByOther(passTime));
        }

        SECTION("a frame that trickles without an end closes the link after a while")
        {
            introduce();
            vm.sendBytes(longestFrame);
            CHECK(vm.isClosedByOther([&] {
                vm.sendBytes("x");
                passTime();
            }));
        }

        SECTION("a VM whose name is not text is shown in the state dump")
        {
            vm.send(helloOf("other\xff\xfe"));
            REQUIRE(vm.receive()->body.AsPing() != nullptr);
            std::promise<std::string> state;
            duty.postLatest(
                StateRequest{[&](std::string text) { state.set_value(std::move(text)); }});
            CHECK(state.get_future().get().find("\"peer\":\"other") != std::string::npos);
        }

        SECTION("a link on which nothing is under way stays open")
        {
            introduce();
            FakeVm stranger({asio::ip::make_address(address.ip), address.port});
            REQUIRE(stranger.isClosedByOther(passTime));
            vm.send(wire::PingT());
            CHECK(vm.receive()->body.AsPong() != nullptr);
        }

        SECTION("frames are read no faster than they are handled, and all of them in the end")
        {
            introduce();
            constexpr std::size_t megabytes = 1U << 20U;
            constexpr std::size_t frames = 32;
            wire::ShardBatchT batch = batchOf(microseconds(1), milliseconds(1));
            batch.body = std::string(4 * megabytes, ' ');
            const std::string frame = encodeFrame(*makeFrame(std::move(batch)));
            std::thread sender([&] {
                for (std::size_t i = 0; i < frames; ++i)
                    vm.sendBytes(frame);
            });
            // Another link is read and checked meanwhile, until it is closed for its lack of Hello.
            FakeVm stranger({asio::ip::make_address(address.ip), address.port});
            CHECK(stranger.isClosedByOther(passTime));
            std::size_t handled = 0;
            const auto handleAll = [&] {
                const std::lock_guard lock(mutex);
                handled += unhandled.size();
                unhandled.clear();
            };
            handleAll();
            CHECK(handled == 8);
            const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
            while (handled < frames && std::chrono::steady_clock::now() < end) {
                passTime();
                handleAll();
            }
            CHECK(handled == frames);
            vm.disconnect();
            sender.join();
        }

        SECTION("frames before the pong of the clock probe close the link at some bytes")
        {
            constexpr std::size_t megabytes = 1U << 20U;
            constexpr std::size_t bound = 64 * megabytes;
            vm.send(helloOf("other"));
            REQUIRE(vm.receive()->body.AsPing() != nullptr);
            wire::ShardBatchT batch = batchOf(microseconds(1), milliseconds(1));
            batch.body = std::string(4 * megabytes, ' ');
            const std::string frame = encodeFrame(*makeFrame(std::move(batch)));
            std::size_t sent = 0;
            while (sent < bound && vm.sendBytes(frame))
                sent += frame.size();
            CHECK(sent < bound);
        }
        duty.stop();
    }
}
