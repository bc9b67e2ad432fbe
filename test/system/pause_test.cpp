#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/files.h"
#include "bookings.h"
#include "callers.h"
#include "documents.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

constexpr std::size_t BookingsPerVm = 4;
constexpr std::size_t BookingsWhilePaused = 12;
constexpr std::uint64_t VersionBefore = 1;
constexpr std::uint64_t VersionWithoutTarget = 2;
constexpr const char *QueriedService = "pass-lookup";
constexpr const char *BookingService = "slot-booking";

/// Returns the length of the long pause from `MANGOSHIFT_PAUSE_S`, in seconds; 10 s by default.
std::chrono::seconds longPause()
{
    const char *value = std::getenv("MANGOSHIFT_PAUSE_S");
    return std::chrono::seconds(value == nullptr ? 10 : std::strtol(value, nullptr, 10));
}

/// A deployment under load in which one VM, a home VM of both services, is paused.
class PauseScenario
{
public:
    PauseScenario()
        : m_deployment("sundarban", {.targetOptions = {"--service-time-us", "1000"}})
        , m_document(
              Json::parse(mangoshift::readFile(m_deployment.folder() + "/document.json").value()))
        , m_vms(m_deployment.vmNames())
        , m_callers(m_deployment, QueriedService)
    {
        REQUIRE(waitForAnswers(m_callers, 300));
        m_pausedVm = findHomeVm();
        REQUIRE_FALSE(m_pausedVm.empty());
        m_removedTarget = targetsUsedBy(m_pausedVm, QueriedService).front();
    }

    /// Pauses the home VM while bookings that were submitted through every VM are in flight or
    /// queued in it.
    void pauseWithBookingsInFlight()
    {
        // Lets the VM to be paused exchange frames with every other VM, so that they have estimated
        // the transit delay between them.
        for (const std::string &vm : m_vms)
            for (const std::string &ticket : fetchTickets(m_pausedVm, 1))
                submitBooking(m_deployment.callerAddress(vm), ticket, m_outcomes[ticket]);
        setBookingTargets(R"({"slow_factor":400})");
        REQUIRE(eventually([&] {
            for (const std::string &vm : m_vms)
                for (const std::string &ticket : fetchTickets(vm, BookingsPerVm))
                    startBooking(vm, ticket);
            return bookingsInFlight() > 0;
        }));
        m_deployment.vm(m_pausedVm).signal(SIGSTOP);
        m_pausedAt = std::chrono::steady_clock::now();
    }

    /// Submits bookings to the paused VM, alternating between direct ones and ones through another
    /// VM, and waits until all submissions have ended.
    void submitToPausedVm(const std::vector<std::string> &tickets)
    {
        for (std::size_t i = 0; i < tickets.size(); ++i)
            startBooking(i % 2 == 0 ? m_pausedVm : otherVm(), tickets[i]);
        waitForBookings();
    }

    void removeTarget()
    {
        m_deployment.put(m_deployment.platformAddress(), "/control/config",
                         withoutTarget(m_document, m_removedTarget).dump());
        REQUIRE(eventually([&] {
            return std::all_of(m_vms.begin(), m_vms.end(), [&](const std::string &vm) {
                return vm == m_pausedVm || versionOf(vm) == VersionWithoutTarget;
            });
        }));
    }

    /// Resumes the VM after a pause of the given length. Returns when the VM is ready and has the
    /// new configuration, and 300 further queries have ended.
    void resumeAfter(std::chrono::seconds pause)
    {
        setBookingTargets(R"({"slow_factor":1})");
        std::this_thread::sleep_until(m_pausedAt + pause);
        m_recordsBefore = records();
        m_deployment.vm(m_pausedVm).signal(SIGCONT);
        REQUIRE(eventually([&] {
            return versionOf(m_pausedVm) == VersionWithoutTarget
                && m_deployment.get(m_deployment.operatorAddress(m_pausedVm), "/readyz").status
                == 200;
        }));
        REQUIRE(waitForAnswers(m_callers, 300));
        m_recordsAfter = records();
    }

    /// Returns the bookings that ran after the VM was resumed, when the deadlines of all of them
    /// had passed. Each comes with the VM that it was submitted through.
    std::vector<std::string> bookingsRunLate() const
    {
        std::vector<std::string> late;
        for (const auto &[ticket, vm] : m_vmByTicket)
            if (runCount(ticket, m_recordsAfter) > runCount(ticket, m_recordsBefore))
                late.push_back(std::string(ticket).append(" through ").append(vm));
        return late;
    }

    /// Returns how many queries the removed target ran after the VM was resumed.
    std::uint64_t queriesRunByRemovedTarget() const
    {
        return m_recordsAfter[m_removedTarget]["queries_run"].get<std::uint64_t>()
            - m_recordsBefore[m_removedTarget]["queries_run"].get<std::uint64_t>();
    }

    /// Repeats every booking through the resumed VM, and compares the outcomes with the records of
    /// the targets.
    BookingAudit repeatAndAudit()
    {
        for (auto &[ticket, outcomes] : m_outcomes)
            submitBooking(m_deployment.callerAddress(m_pausedVm), ticket, outcomes);
        return auditBookings(m_deployment, m_outcomes);
    }

    /// Returns whether the paused VM logged anything but the old and then the new configuration
    /// version.
    bool hasUnexpectedVersions()
    {
        std::istringstream log(
            mangoshift::readFile(m_deployment.folder() + "/" + m_pausedVm + ".log").value());
        const std::string event = "event=config_in_force config_version=";
        std::vector<std::uint64_t> versions;
        for (std::string line; std::getline(log, line);)
            if (const auto at = line.find(event); at != std::string::npos)
                versions.push_back(std::stoull(line.substr(at + event.size())));
        return versions != std::vector<std::uint64_t>{VersionBefore, VersionWithoutTarget};
    }

    std::vector<std::string> fetchTickets(const std::string &vm, std::size_t count)
    {
        const std::string path =
            std::string("/v1/tickets/") + BookingService + "?count=" + std::to_string(count);
        return Json::parse(m_deployment.post(vm, path, "").body)["tickets"];
    }

    const std::string &pausedVm() const { return m_pausedVm; }
    Callers &callers() { return m_callers; }

private:
    Json state(const std::string &vm)
    {
        return Json::parse(m_deployment.get(m_deployment.operatorAddress(vm), "/state").body,
                           nullptr, false);
    }

    std::uint64_t versionOf(const std::string &vm)
    {
        const Json vmState = state(vm);
        return vmState.is_object() && vmState["control"].is_object()
            ? vmState["control"]["config"]["version"].get<std::uint64_t>()
            : 0;
    }

    Json records()
    {
        return Json::parse(m_deployment.get(m_deployment.targetControl(), "/records").body);
    }

    static std::uint64_t runCount(const std::string &ticket, const Json &records)
    {
        std::uint64_t count = 0;
        for (const Json &target : records)
            count += target["submissions"].value(ticket, std::uint64_t(0));
        return count;
    }

    void setBookingTargets(const std::string &behaviour)
    {
        for (const Json &target : m_document["services"][2]["shards"][0]["replicas"])
            m_deployment.put(m_deployment.targetControl(), "/targets/" + target.get<std::string>(),
                             behaviour);
    }

    /// Returns a VM that is a home VM for shards of both services, or an empty string.
    std::string findHomeVm()
    {
        REQUIRE(m_document["services"][2]["name"] == BookingService);
        for (const std::string &vm : m_vms)
            REQUIRE(m_deployment.submit(vm, BookingService, "").status == 200);
        for (const std::string &vm : m_vms)
            if (!targetsUsedBy(vm, BookingService).empty()
                && !targetsUsedBy(vm, QueriedService).empty())
                return vm;
        return {};
    }

    /// Returns the targets of a service that a home VM has sent requests to.
    std::vector<std::string> targetsUsedBy(const std::string &home, const std::string &service)
    {
        std::vector<std::string> used;
        const Json targets = state(home)["homes"]["targets"];
        for (const Json &target : targets)
            if (const std::string name = target["target"];
                name.rfind(service, 0) == 0 && target["calls_sent"] > 0)
                used.push_back(name);
        return used;
    }

    /// Returns how many bookings the VM to be paused has pending at targets.
    std::size_t bookingsInFlight()
    {
        std::size_t count = 0;
        const Json targets = state(m_pausedVm)["homes"]["targets"];
        for (const Json &target : targets)
            if (target["target"].get<std::string>().rfind(BookingService, 0) == 0)
                count += target["slots_in_use"].get<std::size_t>();
        return count;
    }

    std::string otherVm() const
    {
        return m_vms.front() == m_pausedVm ? m_vms.back() : m_vms.front();
    }

    void startBooking(const std::string &vm, const std::string &ticket)
    {
        TicketOutcomes &outcomes = m_outcomes[ticket];
        m_vmByTicket[ticket] = vm;
        m_bookings.emplace_back([&outcomes, ticket, address = m_deployment.callerAddress(vm)] {
            submitBooking(address, ticket, outcomes);
        });
    }

    void waitForBookings()
    {
        for (std::thread &each : m_bookings)
            each.join();
        m_bookings.clear();
    }

    Deployment m_deployment;
    Json m_document;
    std::vector<std::string> m_vms;
    Callers m_callers;
    std::string m_pausedVm; ///< The VM that is paused, chosen by the constructor.
    /// A target of the paused VM that is removed from the document during the pause.
    std::string m_removedTarget;
    std::map<std::string, TicketOutcomes> m_outcomes;
    std::map<std::string, std::string> m_vmByTicket;
    std::vector<std::thread> m_bookings;
    std::chrono::steady_clock::time_point m_pausedAt;
    /// The records of the targets just before the VM is resumed, and after the queries that follow.
    Json m_recordsBefore;
    Json m_recordsAfter;
};

/// Pauses a VM under load while bookings are in flight, changes the configuration and resumes the
/// VM.
void runScenario(PauseScenario &scenario, std::chrono::seconds pause)
{
    const auto tickets = scenario.fetchTickets(scenario.pausedVm(), BookingsWhilePaused);
    scenario.pauseWithBookingsInFlight();
    scenario.submitToPausedVm(tickets);
    scenario.removeTarget();
    scenario.resumeAfter(pause);
    scenario.callers().stop();
}

/// Checks that no booking that waited for the paused VM runs after its deadline, and that the VM
/// gives consistent answers after the pause.
void checkPause(std::chrono::seconds pause)
{
    PauseScenario scenario;
    runScenario(scenario, pause);
    const std::vector<std::string> late = scenario.bookingsRunLate();
    CAPTURE(late);
    CHECK(late.empty());
    CHECK(scenario.callers().inconsistentCount() == 0);
    CHECK_FALSE(scenario.hasUnexpectedVersions());
    const BookingAudit audit = scenario.repeatAndAudit();
    std::cout << "paused_s=" << pause.count() << " answers=" << scenario.callers().answerCount()
              << " incomplete=" << scenario.callers().incompleteCount()
              << " run_by_removed_target=" << scenario.queriesRunByRemovedTarget() << " "
              << audit.toString() << std::endl;
    CHECK(audit.answeredRan > 0);
    CHECK(audit.violationCount() == 0);
}

} // namespace

TEST_CASE("A VM that was paused does not act on stale state")
{
    SECTION("paused for 1 s")
    {
        checkPause(std::chrono::seconds(1));
    }
    SECTION("paused for 10 s, or for MANGOSHIFT_PAUSE_S")
    {
        checkPause(longPause());
    }
}

TEST_CASE("A VM that was paused sends no requests to a target that was removed meanwhile")
{
    PauseScenario scenario;
    runScenario(scenario, std::chrono::seconds(1));
    CHECK(scenario.queriesRunByRemovedTarget() == 0);
}
