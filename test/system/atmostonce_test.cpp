#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include <catch2/catch.hpp>

#include "bookings.h"

using namespace mangoshift::testing;

namespace {

constexpr std::uint64_t DefaultSeed = 20261204;
constexpr std::uint64_t TicketCount = 10'000;
constexpr std::size_t CallerCount = 48;
const std::vector<std::string> TargetFaults{
    R"({"crash_before_answer":0.2,"crash_before_run":0.2})",
    R"({"draining":true})",
    R"({"queue_limit":0,"slow_factor":20})",
};
const std::string NoTargetFault = R"({"crash_before_answer":0,"crash_before_run":0,)"
                                  R"("draining":false,"queue_limit":16,"slow_factor":1})";

std::uint64_t readSeed()
{
    const char *value = std::getenv("MANGOSHIFT_SEED");
    return value == nullptr ? DefaultSeed : std::strtoull(value, nullptr, 10);
}

/// Injects faults until the load ends: kills and restarts VMs or freezes them, one VM at a time,
/// and makes targets crash, refuse requests or respond slowly.
class FaultInjector
{
public:
    FaultInjector(Deployment &deployment, const BookingLoad &load, std::uint64_t seed)
        : m_deployment(deployment)
        , m_load(load)
        , m_random(seed)
        , m_vms(deployment.vmNames())
    {
    }

    void injectUntilDone()
    {
        while (!m_load.isDone()) {
            const std::string vm = m_vms[m_random() % m_vms.size()];
            switch (m_random() % 3) {
            case 0:
                ++kills;
                m_deployment.vm(vm).signal(SIGKILL);
                waitForBookings(50);
                m_deployment.restartVm(vm);
                break;
            case 1:
                // Freezes the VM for longer than the callers' deadline of 200 ms.
                ++freezes;
                m_deployment.vm(vm).signal(SIGSTOP);
                std::this_thread::sleep_for(std::chrono::milliseconds(300 + m_random() % 500));
                m_deployment.vm(vm).signal(SIGCONT);
                break;
            default:
                ++targetFaults;
                setTargetBehaviour(TargetFaults.at(m_random() % TargetFaults.size()));
                waitForBookings(100);
                setTargetBehaviour(NoTargetFault);
            }
            waitForBookings(50);
        }
    }

    std::uint64_t kills = 0;
    std::uint64_t freezes = 0;
    std::uint64_t targetFaults = 0;

private:
    void waitForBookings(std::uint64_t additional)
    {
        const std::uint64_t goal = m_load.processedTickets() + additional;
        eventually([&] { return m_load.isDone() || m_load.processedTickets() >= goal; });
    }

    void setTargetBehaviour(const std::string &behaviour)
    {
        m_deployment.put(m_deployment.targetControl(), "/targets/*", behaviour);
    }

    Deployment &m_deployment;
    const BookingLoad &m_load;
    std::mt19937_64 m_random;
    std::vector<std::string> m_vms;
};

} // namespace

TEST_CASE("No ticket runs twice while VMs and targets fail")
{
    GIVEN("callers that repeat bookings through all VMs")
    {
        const std::uint64_t seed = readSeed();
        Deployment deployment("sundarban", {.targetOptions = {"--service-time-us", "1000"}});
        BookingLoad load(deployment, TicketCount, CallerCount, seed);

        SECTION("the records of the targets agree with every answer")
        {
            FaultInjector faults(deployment, load, seed);
            faults.injectUntilDone();
            const BookingAudit audit = auditBookings(deployment, load.finish());
            std::cout << "at_most_once seed=" << seed << " kills=" << faults.kills
                      << " freezes=" << faults.freezes << " target_faults=" << faults.targetFaults
                      << " " << audit.toString() << std::endl;
            INFO("seed " << seed << ": " << audit.toString());
            CHECK(audit.tickets >= TicketCount);
            CHECK(audit.repeats > 0);
            CHECK(faults.kills > 0);
            CHECK(faults.freezes > 0);
            CHECK(faults.targetFaults > 0);
            CHECK(audit.answeredRan > 0);
            CHECK(audit.violationCount() == 0);
        }
    }
}
