#include <future>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "entry/entryduty.h"

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
