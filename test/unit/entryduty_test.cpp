#include <future>
#include <memory>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "entry/entryduty.h"
#include "platform/platformadapter.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

Address freeAddress()
{
    asio::io_context io;
    const asio::ip::tcp::acceptor acceptor(
        io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

EntrySettings settings()
{
    EntrySettings settings;
    settings.vm = "vm0";
    settings.callerAddress = freeAddress();
    settings.readyAddress = freeAddress();
    return settings;
}

RegisteredTarget targetOf(const std::string &id)
{
    RegisteredTarget target;
    target.id = id;
    target.service = "orders";
    target.address = "127.0.0.1:9000";
    return target;
}

RoutingTablePtr routingOf(ConfigVersion version)
{
    RoutingDocument document;
    document.version = version;
    return std::make_shared<const RoutingTable>(document);
}

nlohmann::json stateOf(EntryDuty &duty)
{
    std::promise<std::string> text;
    REQUIRE(duty.requestState({[&text](std::string state) { text.set_value(std::move(state)); }}));
    return nlohmann::json::parse(text.get_future().get());
}

/// Returns a configuration with one route, which forwards to the targets of `targetOf`.
RoutingTablePtr routingToOrders()
{
    Route route;
    route.name = "orders";
    route.host = "shop.example";
    route.pathPrefix = "/orders/";
    route.timeout = 1h;
    route.maxAttempts = 1;
    route.destination = ForwardTo{{{"orders"}}};
    RoutingDocument document;
    document.version = 1;
    document.routes = {route};
    document.services["orders"] = {};
    return std::make_shared<const RoutingTable>(document);
}

/// Connects to the duty and sends an order.
asio::ip::tcp::socket sendOrder(asio::io_context &io, const Address &address, const std::string &id)
{
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(socket,
                asio::buffer("POST /orders/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                             + "\r\nContent-Length: 3\r\n\r\none"));
    return socket;
}

/// Returns all bytes until the connection ends.
std::string readToEnd(asio::ip::tcp::socket &socket)
{
    std::string bytes;
    asio::error_code ended;
    asio::read(socket, asio::dynamic_buffer(bytes), ended);
    return bytes;
}

} // namespace

// Guards against a configuration or a removed target that is lost to the requests for good because
// the duty was too busy to take the message.
TEST_CASE("An entry duty that is too busy for further messages")
{
    Metrics metrics;
    const WireAdapter adapter;
    EntryDuty duty(settings(), adapter, metrics, {});
    duty.setRouting(routingOf(1));
    duty.applyTargets({TargetListed{targetOf("i-1")}, TargetListed{targetOf("i-2")}});
    while (duty.requestState({[](const std::string &) {}})) {
    }

    SECTION("still learns the latest configuration, and which targets are left")
    {
        duty.setRouting(routingOf(2));
        duty.applyTargets({TargetDelisted{"i-1"}, TargetListed{targetOf("i-3")}});
        duty.setRouting(routingOf(3));
        duty.setRegistryListed();
        duty.setFleetSize(40);
        REQUIRE(duty.start());
        // A further message is accepted when those that were posted before are handled.
        bool isIdle = false;
        while (!isIdle)
            isIdle = duty.requestState({[](const std::string &) {}});
        const nlohmann::json state = stateOf(duty);
        CHECK(state["config_version"] == 3);
        CHECK(state["ready"] == true);
        CHECK(state["fleet_size"] == 40);
        CHECK_FALSE(state["targets"].contains("i-1"));
        CHECK(state["targets"].contains("i-2"));
        CHECK(state["targets"].contains("i-3"));
    }
    SECTION("still learns that it is to leave")
    {
        duty.setRegistryListed();
        duty.startLeaving(Clock::now() + 1h);
        REQUIRE(duty.start());
        bool isIdle = false;
        while (!isIdle)
            isIdle = duty.requestState({[](const std::string &) {}});
        CHECK(stateOf(duty)["leaving"] == true);
        CHECK_FALSE(duty.isReady());
    }
}

// Guards against a stop whose last moments pass without a turn of the duty's thread, on a busy
// machine or after a pause: every caller gets a response even then.
TEST_CASE("An entry duty that stops without a further turn of its thread")
{
    asio::io_context io;
    // Makes connections and receives requests, but never responds.
    const asio::ip::tcp::acceptor silentTarget(
        io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    RegisteredTarget target = targetOf("i-1");
    target.address = "127.0.0.1:" + std::to_string(silentTarget.local_endpoint().port());
    Metrics metrics;
    const WireAdapter adapter = platform::adapter();
    const EntrySettings entrySettings = settings();
    auto duty = std::make_unique<EntryDuty>(entrySettings, adapter, metrics, EntrySinks{});
    duty->setRouting(routingToOrders());
    duty->applyTargets({TargetListed{target}});
    duty->setRegistryListed();
    REQUIRE(duty->start());
    while (!duty->isReady())
        std::this_thread::yield();
    asio::ip::tcp::socket pending = sendOrder(io, entrySettings.callerAddress, "pending");
    while (stateOf(*duty)["requests_under_way"] == 0)
        std::this_thread::yield();

    std::promise<void> isHeld;
    std::promise<void> release;
    REQUIRE(duty->requestState({[&](const std::string &) {
        isHeld.set_value();
        release.get_future().wait();
    }}));
    isHeld.get_future().wait();
    asio::ip::tcp::socket unread = sendOrder(io, entrySettings.callerAddress, "unread");
    duty->startLeaving(Clock::now());
    std::thread stopping([&duty] { duty->stop(); });
    // Lets the stop reach the wait for the thread; an earlier release gives the thread a turn.
    std::this_thread::sleep_for(50ms);
    release.set_value();
    stopping.join();
    // Closes the connections, as the end of the process does.
    duty.reset();

    SECTION("answers a pending request, and refuses one that has arrived, as not run")
    {
        const std::string pendingResponse = readToEnd(pending);
        CHECK(pendingResponse.starts_with("HTTP/1.1 "));
        CHECK(pendingResponse.find("Connection: close") != std::string::npos);
        const std::string unreadResponse = readToEnd(unread);
        CHECK(unreadResponse.starts_with("HTTP/1.1 503 "));
        CHECK(unreadResponse.find("Retry-After") != std::string::npos);
    }
}
