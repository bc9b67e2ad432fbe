#include <csignal>

#include <catch2/catch.hpp>

#include "answers.h"
#include "deployment.h"

using namespace mangoshift::testing;

namespace {

/// Queries the VMs in turn, and from the first again after an incomplete answer, until
/// `consecutive` answers in a row are complete. Returns false on a timeout.
bool waitForCompleteAnswers(Deployment &deployment, const std::vector<std::string> &vms,
                            std::size_t consecutive)
{
    std::size_t complete = 0;
    return eventually([&] {
        const auto response = deployment.query(vms[complete % vms.size()], "pass-lookup");
        if (response.status == 200) {
            const std::string inconsistency = findInconsistency(response.body);
            INFO(inconsistency);
            REQUIRE(inconsistency.empty());
        }
        complete = response.status == 200 && isComplete(response.body) ? complete + 1 : 0;
        return complete >= consecutive;
    });
}

/// Sends `queries` queries to the VMs in turn, until an answer is incomplete. Returns whether every
/// answer was complete; checks that each also agrees with its rows.
bool allAnswersComplete(Deployment &deployment, const std::vector<std::string> &vms,
                        std::size_t queries)
{
    for (std::size_t i = 0; i < queries; ++i) {
        const std::string &vm = vms[i % vms.size()];
        const auto response = deployment.query(vm, "pass-lookup");
        INFO(vm << " answered " << response.status << " " << response.body);
        CHECK(response.status == 200);
        CHECK(findInconsistency(response.body).empty());
        CHECK(isComplete(response.body));
        if (response.status != 200 || !isComplete(response.body))
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("A VM is killed or frozen while the others serve queries")
{
    Deployment deployment("sundarban", {.targetOptions = {}, .deadline = std::chrono::seconds(2)});
    std::vector<std::string> others = deployment.vmNames();
    const std::string frozen = others.front();
    others.erase(others.begin());
    // The first queries earn the budget for the extra requests that a failover needs.
    REQUIRE(waitForCompleteAnswers(deployment, others, 360));

    SECTION("after a kill of any VM, every answer of the others is complete")
    {
        for (const std::string &each : deployment.vmNames()) {
            deployment.vm(each).signal(SIGKILL);
            std::vector<std::string> remaining = deployment.vmNames();
            std::erase(remaining, each);
            REQUIRE(allAnswersComplete(deployment, remaining, 120));
            deployment.restartVm(each);
            REQUIRE(eventually([&] {
                return deployment.get(deployment.operatorAddress(each), "/readyz").status == 200;
            }));
            // Earns the budget for the next kill.
            REQUIRE(waitForCompleteAnswers(deployment, deployment.vmNames(), 420));
        }
    }

    SECTION("while one VM is frozen, every answer of the others is complete")
    {
        deployment.vm(frozen).signal(SIGSTOP);
        CHECK(allAnswersComplete(deployment, others, 120));
    }
}
