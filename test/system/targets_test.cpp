#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/files.h"
#include "deployment.h"

using namespace mangoshift::testing;
using mangoshift::readFile;
using Json = nlohmann::json;

namespace {

constexpr const char *FaultyTarget = "pass-lookup-00-a";
constexpr std::uint64_t Slots = 2;

/// The Sundarban deployment, and one of its targets that a test can make faulty.
class FaultyTargetFixture
{
public:
    /// A `deadline` replaces that of every service unless it is zero.
    explicit FaultyTargetFixture(std::chrono::milliseconds deadline = {})
        : m_deployment("sundarban", {.targetOptions = {}, .deadline = deadline})
    {
        // Lets the home VMs measure latencies and earn a budget for extra requests.
        REQUIRE(countIncompleteAnswers(150) == 0);
    }

    /// Sends `queries` queries in turn to the VMs, except to one of them. Returns how many answers
    /// were not complete.
    int countIncompleteAnswers(int queries, const std::string &except = "")
    {
        int incomplete = 0;
        auto vms = m_deployment.vmNames();
        std::erase(vms, except);
        for (int i = 0; i < queries; ++i) {
            const auto response =
                m_deployment.query(vms[static_cast<std::size_t>(i) % vms.size()], "pass-lookup");
            const Json answer = Json::parse(response.body, nullptr, false);
            if (response.status == 200)
                m_extraRequests += answer["extra_requests"].get<std::uint64_t>();
            if (response.status != 200 || answer["complete"] != true)
                ++incomplete;
        }
        return incomplete;
    }

    /// Returns how many extra requests the answers so far have stated.
    std::uint64_t extraRequests() const { return m_extraRequests; }

    void setTargetBehaviour(const Json &change)
    {
        REQUIRE(m_deployment
                    .put(m_deployment.targetControl(), std::string("/targets/") + FaultyTarget,
                         change.dump())
                    .status
                == 200);
    }

    std::uint64_t readTargetRecord(const char *field)
    {
        const auto response = m_deployment.get(m_deployment.targetControl(), "/records");
        return Json::parse(response.body)[FaultyTarget][field].get<std::uint64_t>();
    }

    /// Returns whether any VM reports the faulty target in the given condition.
    bool isTargetReportedAs(const std::string &condition)
    {
        const auto vms = m_deployment.vmNames();
        return std::any_of(vms.begin(), vms.end(), [&](const std::string &vm) {
            const auto response = m_deployment.get(m_deployment.operatorAddress(vm), "/state");
            const Json state = Json::parse(response.body);
            for (const Json &target : state["homes"]["targets"])
                if (target["target"] == FaultyTarget && target["condition"] == condition)
                    return true;
            return false;
        });
    }

    /// What a VM knows of the faulty target, and how many requests it has sent to it.
    struct View
    {
        std::string condition;
        std::uint64_t callsSent = 0;
        /// Connections that the VM has closed because it had waited long enough for a response.
        std::uint64_t silentConnections = 0;
        bool isCallUnderWay = false;

        bool operator==(const View &) const = default;
    };
    using Views = std::map<std::string, View>;

    /// Returns the views of the VMs that have sent the faulty target a request, by VM.
    Views views()
    {
        Views views;
        for (const std::string &vm : m_deployment.vmNames()) {
            const auto response = m_deployment.get(m_deployment.operatorAddress(vm), "/state");
            const Json state = Json::parse(response.body);
            for (const Json &target : state["homes"]["targets"])
                if (target["target"] == FaultyTarget
                    && (target["calls_sent"] > 0 || target["slots_in_use"] > 0))
                    views[vm] = {target["condition"], target["calls_sent"],
                                 target["silent_connections"], target["slots_in_use"] > 0};
        }
        return views;
    }

    /// What the VMs and the faulty target know once all calls to it have ended.
    struct Account
    {
        Views views;
        std::uint64_t refused = 0;
    };

    /// Waits until the views of the VMs no longer change and no call is under way. A call that a
    /// VM has given up is still under way until its response, or the end of its connection.
    Account settledAccount()
    {
        Account account;
        REQUIRE(eventually([&] {
            account.views = views();
            account.refused = readTargetRecord("refused_draining");
            return std::none_of(account.views.begin(), account.views.end(),
                                [](const auto &each) { return each.second.isCallUnderWay; })
                && views() == account.views;
        }));
        return account;
    }

    /// Sends queries while the faulty target drains. Checks that a VM which knows this sends it
    /// nothing, that a VM which does not learns it from the first response, and that the target
    /// refuses exactly the requests that the VMs have sent. Returns the VMs that have sent any.
    std::set<std::string> checkRequestsWhileDraining(const std::function<void()> &sendQueries)
    {
        const Account before = settledAccount();
        sendQueries();
        const Account after = settledAccount();
        std::set<std::string> senders;
        std::uint64_t sent = 0;
        for (const auto &[vm, view] : after.views) {
            const auto known = before.views.find(vm);
            const View viewBefore = known == before.views.end() ? View() : known->second;
            INFO(vm << ": " << viewBefore.callsSent << " requests, " << viewBefore.condition
                    << "; then " << view.callsSent << ", " << view.condition << "; silent "
                    << viewBefore.silentConnections << " to " << view.silentConnections);
            const std::uint64_t calls = view.callsSent - viewBefore.callsSent;
            if (calls == 0)
                continue;
            CHECK(viewBefore.condition != "draining");
            // A call that was given up teaches nothing if its response is too late to be read.
            const std::uint64_t unread = view.silentConnections - viewBefore.silentConnections;
            if (calls > unread)
                CHECK(view.condition == "draining");
            CHECK(calls <= Slots + unread);
            sent += calls;
            senders.insert(vm);
        }
        INFO("refused before: " << before.refused << ", after: " << after.refused);
        // A VM may stop waiting for a response before a busy target has read the request.
        CHECK(eventually(
            [&] { return readTargetRecord("refused_draining") - before.refused == sent; }));
        return senders;
    }

    Process &vm(const std::string &name) { return m_deployment.vm(name); }

    /// Returns the open connections to the faulty target of each VM that has sent it a request or
    /// opened a connection for one.
    std::map<std::string, std::uint64_t> connectionsByVm()
    {
        std::map<std::string, std::uint64_t> connections;
        for (const std::string &vm : m_deployment.vmNames()) {
            const auto response = m_deployment.get(m_deployment.operatorAddress(vm), "/state");
            const Json state = Json::parse(response.body);
            for (const Json &target : state["homes"]["targets"])
                if (target["target"] == FaultyTarget
                    && (target["calls_sent"] > 0 || target["connections"] > 0))
                    connections[vm] = target["connections"];
        }
        return connections;
    }

    /// Returns how often a VM has found a home silent since the start.
    std::uint64_t homeSuspicions()
    {
        std::uint64_t suspicions = 0;
        for (const std::string &vm : m_deployment.vmNames()) {
            const auto response = m_deployment.get(m_deployment.operatorAddress(vm), "/state");
            suspicions +=
                Json::parse(response.body)["queries"]["home_suspicions"].get<std::uint64_t>();
        }
        return suspicions;
    }

    /// Publishes the document without the faulty target.
    void removeTargetFromDocument()
    {
        const std::string platform = m_deployment.platformAddress();
        Json document = Json::parse(readFile(m_deployment.folder() + "/document.json").value());
        const Json status = Json::parse(m_deployment.get(platform, "/control/status").body);
        document["base_version"] = status["version"];
        Json &targets = document["targets"];
        targets.erase(std::find_if(targets.begin(), targets.end(), [](const Json &target) {
            return target["name"] == FaultyTarget;
        }));
        for (Json &service : document["services"])
            for (Json &shard : service["shards"]) {
                Json &replicas = shard["replicas"];
                replicas.erase(std::remove(replicas.begin(), replicas.end(), FaultyTarget),
                               replicas.end());
            }
        REQUIRE(m_deployment.put(platform, "/control/config", document.dump()).status == 200);
    }

    std::size_t vmCount() { return m_deployment.vmNames().size(); }

private:
    Deployment m_deployment;
    std::uint64_t m_extraRequests = 0;
};

} // namespace

TEST_CASE("Answers stay complete while one target is faulty")
{
    FaultyTargetFixture fixture;

    SECTION("slowed down by a factor of ten")
    {
        fixture.setTargetBehaviour({{"slow_factor", 10}});
        CHECK(fixture.countIncompleteAnswers(300) == 0);
    }

    SECTION("down, and up again")
    {
        fixture.setTargetBehaviour({{"down", true}});
        CHECK(fixture.countIncompleteAnswers(300) == 0);
        CHECK(fixture.isTargetReportedAs("failing"));
        fixture.setTargetBehaviour({{"down", false}});
        const std::uint64_t before = fixture.readTargetRecord("queries_run");
        CHECK(eventually([&] {
            return fixture.countIncompleteAnswers(1) == 0
                && fixture.readTargetRecord("queries_run") > before + 10;
        }));
    }

    SECTION("draining: it gets no new requests")
    {
        const std::uint64_t before = fixture.readTargetRecord("queries_run");
        fixture.setTargetBehaviour({{"draining", true}});
        CHECK(fixture.countIncompleteAnswers(300) == 0);
        CHECK(fixture.readTargetRecord("queries_run") == before);
        // The target refuses the requests that were on their way to it; after that it receives
        // none.
        const std::uint64_t refused = fixture.readTargetRecord("refused_draining");
        CHECK(refused <= 2 * fixture.vmCount());
        CHECK(fixture.isTargetReportedAs("draining"));
        const std::uint64_t extraRequests = fixture.extraRequests();
        const std::uint64_t suspicions = fixture.homeSuspicions();
        const auto senders = fixture.checkRequestsWhileDraining(
            [&] { CHECK(fixture.countIncompleteAnswers(300) == 0); });
        // A VM uses the next home of a shard only while the first one is late or silent.
        if (fixture.extraRequests() == extraRequests && fixture.homeSuspicions() == suspicions)
            CHECK(senders.empty());
        fixture.setTargetBehaviour({{"draining", false}});
        CHECK(eventually([&] {
            return fixture.countIncompleteAnswers(1) == 0
                && fixture.readTargetRecord("queries_run") > before + 10;
        }));
    }

    SECTION("draining: a home that stands in for another learns it from its first requests")
    {
        fixture.setTargetBehaviour({{"draining", true}});
        REQUIRE(fixture.countIncompleteAnswers(300) == 0);
        // The first home has sent the most; another may have stood in for it already.
        const auto views = fixture.views();
        const auto home =
            std::max_element(views.begin(), views.end(), [](const auto &a, const auto &b) {
                return a.second.callsSent < b.second.callsSent;
            });
        REQUIRE(home != views.end());
        REQUIRE(home->second.condition == "draining");
        const std::string &stopped = home->first;
        const auto senders = fixture.checkRequestsWhileDraining([&] {
            fixture.vm(stopped).signal(SIGSTOP);
            fixture.countIncompleteAnswers(100, stopped);
            fixture.vm(stopped).signal(SIGCONT);
            CHECK(eventually([&] { return fixture.countIncompleteAnswers(20) == 0; }));
        });
        CHECK(senders.count(stopped) == 0);
        // Homes do not tell each other, so another home knows only what it was told itself.
        const auto viewsAfter = fixture.views();
        CHECK(std::any_of(viewsAfter.begin(), viewsAfter.end(), [&](const auto &each) {
            return each.first != stopped && each.second.condition == "draining";
        }));
    }

    SECTION("removed from the document: its connections are closed")
    {
        REQUIRE(fixture.readTargetRecord("connections") > 0);
        fixture.removeTargetFromDocument();
        CHECK(eventually([&] {
            return fixture.countIncompleteAnswers(1) == 0
                && fixture.readTargetRecord("connections") == 0;
        }));
        const std::uint64_t before = fixture.readTargetRecord("queries_run");
        CHECK(fixture.countIncompleteAnswers(50) == 0);
        CHECK(fixture.readTargetRecord("queries_run") == before);
    }

    SECTION("its connections silent: they are replaced, and the target stays in use")
    {
        const std::uint64_t opened = fixture.readTargetRecord("connections_opened");
        fixture.setTargetBehaviour({{"silence_open", true}});
        CHECK(fixture.countIncompleteAnswers(100) == 0);
        const std::uint64_t before = fixture.readTargetRecord("queries_run");
        CHECK(eventually([&] {
            return fixture.countIncompleteAnswers(1) == 0
                && fixture.readTargetRecord("queries_run") > before + 10;
        }));
        CHECK(fixture.readTargetRecord("connections_opened") > opened);
        CHECK_FALSE(fixture.isTargetReportedAs("failing"));
    }
}

TEST_CASE("No target gets more concurrent requests than it has slots")
{
    // One connection for each slot, and one for cancellations.
    constexpr std::uint64_t homeConnections = Slots + 1;
    // No response time is checked here, so the deadline is one that a busy machine can keep.
    FaultyTargetFixture fixture(std::chrono::seconds(5));
    const auto connections = fixture.connectionsByVm();
    const std::uint64_t suspicions = fixture.homeSuspicions();
    INFO("open connections by VM: " << Json(connections)
                                    << ", extra requests: " << fixture.extraRequests()
                                    << ", suspicions of homes: " << suspicions);
    CHECK(fixture.readTargetRecord("most_running") <= Slots);
    CHECK(fixture.readTargetRecord("shed") == 0);
    for (const auto &[vm, open] : connections)
        CHECK(open <= homeConnections);
    CHECK(fixture.readTargetRecord("most_connections") <= homeConnections * connections.size());
    // A VM uses the next home of a shard only while the first one is late or silent.
    if (fixture.extraRequests() == 0 && suspicions == 0)
        CHECK(connections.size() == 1);
    // Neither home keeps connections that it does not use.
    CHECK(eventually([&] { return fixture.readTargetRecord("connections") == 0; }));
}
