#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>

#include "mangoshift/admission.h"

using namespace mangoshift;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Deadline{100};
const AdmittedOutcome Missed{std::nullopt, Deadline, {"all"}};

/// Passes requests of one service through a controller and serves those admitted in order of
/// arrival, with a fixed number of slots.
class SimulatedTarget
{
public:
    SimulatedTarget(AdmissionController &admission, std::string service, std::uint8_t priority,
                    std::size_t slots, milliseconds serviceTime)
        : m_admission(admission)
        , m_service(std::move(service))
        , m_priority(priority)
        , m_slots(slots, Clock::time_point{})
        , m_serviceTime(serviceTime)
    {
    }

    void arrive(Clock::time_point now)
    {
        if (m_admission.tryAdmit(m_service, m_priority, now + Deadline, now)) {
            ++refused;
            return;
        }
        auto slot = std::min_element(m_slots.begin(), m_slots.end());
        *slot = std::max(*slot, now) + m_serviceTime;
        m_running.push_back({now, *slot});
    }

    void finish(Clock::time_point now)
    {
        while (!m_running.empty()
               && std::min(m_running.front().endsAt, m_running.front().admittedAt + Deadline)
                   <= now) {
            const Running done = m_running.front();
            m_running.pop_front();
            const bool isLate = done.endsAt > done.admittedAt + Deadline;
            ++(isLate ? late : inTime);
            m_admission.onFinished(
                m_service, isLate ? Missed : AdmittedOutcome{now - done.admittedAt, Deadline, {}},
                now);
        }
    }

    std::size_t refused = 0;
    std::size_t late = 0;
    std::size_t inTime = 0;

private:
    struct Running
    {
        Clock::time_point admittedAt;
        Clock::time_point endsAt;
    };

    AdmissionController &m_admission;
    std::string m_service;
    std::uint8_t m_priority;
    std::vector<Clock::time_point> m_slots;
    milliseconds m_serviceTime;
    std::deque<Running> m_running;
};

} // namespace

TEST_CASE("The requests that a VM runs at once")
{
    Clock::time_point now{std::chrono::seconds(1)};
    AdmissionController admission(10, 1);

    SECTION("are bounded by its capacity, of which lower priorities may use a part")
    {
        std::size_t admitted = 0;
        while (!admission.tryAdmit("browse", 2, now + Deadline, now))
            ++admitted;
        CHECK(admitted == 6);
        CHECK(admission.tryAdmit("browse", 2, now + Deadline, now)->cause == RefusalCause::VmLimit);
        while (!admission.tryAdmit("urgent", 0, now + Deadline, now))
            ++admitted;
        CHECK(admitted == 10);
    }

    SECTION("free capacity when they finish")
    {
        while (!admission.tryAdmit("urgent", 0, now + Deadline, now)) {
        }
        admission.onFinished("urgent", {}, now);
        CHECK_FALSE(admission.tryAdmit("urgent", 0, now + Deadline, now));
    }
}

TEST_CASE("Refused callers get different times to retry after")
{
    Clock::time_point now{std::chrono::seconds(1)};
    AdmissionController admission(1, 1);
    REQUIRE_FALSE(admission.tryAdmit("s", 0, now + Deadline, now));
    const auto first = admission.tryAdmit("s", 0, now + Deadline, now);
    const auto second = admission.tryAdmit("s", 0, now + Deadline, now);
    CHECK(first->retryAfter.count() > 0);
    CHECK(first->retryAfter != second->retryAfter);
}

TEST_CASE("A deadline shorter than the typical time of requests")
{
    Clock::time_point now{std::chrono::seconds(1)};
    AdmissionController admission(100, 1);
    for (int i = 0; i < 200; ++i) {
        REQUIRE_FALSE(admission.tryAdmit("s", 0, now + Deadline, now));
        admission.onFinished("s", {milliseconds(30), Deadline, {}}, now);
        now += milliseconds(30);
    }
    // The first request may be admitted as a probe.
    (void)admission.tryAdmit("s", 0, now + milliseconds(10), now);

    SECTION("is refused at once, except for an occasional probe")
    {
        const auto refusal = admission.tryAdmit("s", 0, now + milliseconds(10), now);
        REQUIRE(refusal);
        CHECK(refusal->cause == RefusalCause::Infeasible);
        CHECK_FALSE(admission.tryAdmit("s", 0, now + Deadline, now));
        now += milliseconds(100);
        CHECK_FALSE(admission.tryAdmit("s", 0, now + milliseconds(10), now));
    }
}

TEST_CASE("An overload of three times the targets' capacity")
{
    Clock::time_point now{std::chrono::seconds(1)};
    AdmissionController admission(96, 1);
    // Ten slots of 10 ms serve one request each millisecond.
    SimulatedTarget target(admission, "s", 0, 10, milliseconds(10));
    const auto run = [&](int steps, int arrivals) {
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(1);
            target.finish(now);
            for (int k = 0; k < arrivals; ++k)
                target.arrive(now);
        }
    };
    run(1000, 1);
    target.refused = target.late = target.inTime = 0;
    run(10000, 3);

    SECTION("is served at nine tenths of the capacity or more, within the deadline")
    {
        CHECK(target.inTime >= 9000);
        CHECK(target.late <= 100);
    }

    SECTION("causes no refusals two seconds after its end")
    {
        run(2000, 0);
        target.refused = 0;
        run(1000, 1);
        CHECK(target.refused == 0);
    }
}

TEST_CASE("A limit that an overload has cut to about one")
{
    Clock::time_point now{std::chrono::seconds(1)};
    AdmissionController admission(96, 1);
    // One slot of 20 ms gets five times the requests that it can serve, then a third of them.
    SimulatedTarget target(admission, "s", 0, 1, milliseconds(20));
    const auto run = [&](int steps, int interval) {
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(1);
            target.finish(now);
            if (i % interval == 0)
                target.arrive(now);
        }
    };
    run(10000, 4);
    REQUIRE(admission.status().front().limit <= 3);

    SECTION("recovers within two seconds after the overload, even with few requests")
    {
        run(2000, 60);
        target.refused = 0;
        for (int i = 0; i < 8; ++i)
            target.arrive(now);
        CHECK(target.refused == 0);
    }
}

TEST_CASE("A service that misses its deadlines")
{
    Clock::time_point now{std::chrono::seconds(1)};
    AdmissionController admission(96, 1);
    const auto limitOf = [&](const std::string &service) {
        for (const auto &each : admission.status())
            if (each.service == service)
                return each.limit;
        return std::size_t(0);
    };
    REQUIRE_FALSE(admission.tryAdmit("browse", 2, now + Deadline, now));
    const std::size_t before = limitOf("browse");
    const auto missDeadlines = [&](const std::string &service, std::uint8_t priority) {
        for (int i = 0; i < 10; ++i) {
            REQUIRE_FALSE(admission.tryAdmit(service, priority, now + Deadline, now));
            now += Deadline;
            admission.onFinished(service, Missed, now);
        }
    };

    SECTION("shrinks the limits of services with lower priorities")
    {
        missDeadlines("urgent", 0);
        CHECK(limitOf("browse") < before);
    }

    SECTION("does not shrink the limits of services with higher priorities")
    {
        REQUIRE_FALSE(admission.tryAdmit("urgent", 0, now + Deadline, now));
        const std::size_t urgent = limitOf("urgent");
        missDeadlines("other", 1);
        CHECK(limitOf("urgent") == urgent);
    }
}

TEST_CASE("A shard that every request misses")
{
    Clock::time_point now{std::chrono::seconds(1)};
    AdmissionController admission(96, 1);
    const AdmittedOutcome oneMissed{milliseconds(10), Deadline, {"broken"}};
    for (int i = 0; i < 1000; ++i) {
        if (admission.tryAdmit("s", 0, now + Deadline, now))
            continue;
        now += milliseconds(10);
        admission.onFinished("s", oneMissed, now);
    }

    SECTION("does not shrink the service's limit")
    {
        REQUIRE(admission.status().size() == 1);
        CHECK(admission.status()[0].limit >= 2);
    }
}
