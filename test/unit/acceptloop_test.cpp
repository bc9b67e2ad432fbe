#include <future>
#include <optional>
#include <string>

#include <sys/resource.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "duties/peerduty.h"
#include "http/callerlistener.h"
#include "scriptedserver.h"

using namespace mangoshift;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// Leaves this process no further file descriptor for the lifetime of the
/// object.
class NoFreeDescriptors
{
public:
    NoFreeDescriptors()
    {
        REQUIRE(getrlimit(RLIMIT_NOFILE, &m_before) == 0);
        const int lowestFree = dup(0);
        REQUIRE(lowestFree >= 0);
        close(lowestFree);
        rlimit lowered = m_before;
        lowered.rlim_cur = static_cast<rlim_t>(lowestFree);
        REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~NoFreeDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    NoFreeDescriptors(const NoFreeDescriptors &) = delete;
    NoFreeDescriptors &operator=(const NoFreeDescriptors &) = delete;

private:
    rlimit m_before{};
};

Address freeAddress(asio::io_context &io)
{
    const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

nlohmann::json stateOf(PeerDuty &duty)
{
    std::promise<std::string> text;
    REQUIRE(duty.tryPost(
        StateRequest{[&text](std::string state) { text.set_value(std::move(state)); }}));
    return nlohmann::json::parse(text.get_future().get());
}

} // namespace

// Guards against a thread that does nothing but fail to take a connection.
TEST_CASE("A listener for callers waits while the process has no free file "
          "descriptor")
{
    asio::io_context io;
    CallerEvents events;
    CallerListener listener(io, 4, events);
    const Address address = freeAddress(io);
    REQUIRE(listener.listen(address));
    tcp::socket caller(io);
    caller.open(tcp::v4());
    {
        const NoFreeDescriptors noFreeDescriptors;
        const PausedClock clock;
        caller.connect({asio::ip::make_address(address.ip), address.port});
        std::size_t handlers = 0;
        while (handlers < 100 && io.poll_one() > 0)
            ++handlers;
        CHECK(handlers < 10);
        CHECK(listener.connections() == 0);
    }
    CHECK(runUntil(io, [&listener] { return listener.connections() == 1; }));
    CHECK(listener.acceptFailures() == 1);
}

TEST_CASE("A listener for other VMs waits while the process has no free file "
          "descriptor")
{
    asio::io_context io;
    const Address address = freeAddress(io);
    PeerDuty duty(
        {}, address,
        {[](const PeerFrame &) {}, [](const VmId &) {}, [](LinkId) {}, [](ExchangeId) {}});
    tcp::socket vm(io);
    vm.open(tcp::v4());
    {
        const PausedClock clock;
        duty.start();
        const NoFreeDescriptors noFreeDescriptors;
        vm.connect({asio::ip::make_address(address.ip), address.port});
        while (stateOf(duty)["accept_failures"] == 0) {
        }
        for (int i = 0; i < 100; ++i)
            stateOf(duty);
        CHECK(stateOf(duty)["accept_failures"] == 1);
        CHECK(stateOf(duty)["links"].empty());
    }
    while (stateOf(duty)["links"].empty()) {
    }
    CHECK(stateOf(duty)["links"].size() == 1);
}
