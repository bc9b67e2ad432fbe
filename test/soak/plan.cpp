#include "soak/plan.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Subject = Disturbance::Subject;
using State = SetVmLink::State;

constexpr milliseconds FirstFault{3000};
/// Average time between the starts of two faults, short enough for several to be active at once.
constexpr int MeanGapMs = 900;
/// How long a deployed store keeps the entry of a target that sends no heartbeats: three heartbeat
/// intervals of 1.2 s.
constexpr milliseconds EntryExpiry{3600};
/// How long a process may take to stop before the platform kills it.
constexpr milliseconds StopGracePeriod{6000};
/// How long a draining target keeps serving at least.
constexpr milliseconds DrainTime{3000};
/// How long the address of a stopped target stays unused at least.
constexpr milliseconds AddressReuseDelay{2000};
/// How long after its end a limit may keep its target from its part of the load.
constexpr milliseconds LimitReturnTime{8000};
constexpr double PeakLoadFactor = 5.0;
constexpr std::uint64_t SelfReportSeed = 0x5e1f;
constexpr std::uint64_t LimitSeed = 0x11a17;
/// Of this many seeds one plans a limit before any other fault, as no time is left for one
/// otherwise.
constexpr std::uint64_t LimitsFirstEvery = 4;
constexpr std::size_t MaxLimits = 100;

/// Draws random faults and turns them into steps. A VM, a group of targets or the store has at most
/// one fault at a time, but any number of them can have one.
class Planner
{
public:
    Planner(std::uint64_t seed, const Shape &shape, milliseconds length)
        : m_random(seed)
        , m_plansLimitsFirst(seed % LimitsFirstEvery == LimitsFirstEvery - 1)
        , m_limitRandom(seed ^ LimitSeed)
        , m_shape(shape)
        , m_length(length)
        , m_vmBusyUntil(static_cast<std::size_t>(shape.vms))
    {
    }

    Plan make()
    {
        using PlanFault = void (Planner::*)(milliseconds);
        static constexpr std::array faultPlanners{&Planner::killVm,
                                                  &Planner::freezeVm,
                                                  &Planner::stopVm,
                                                  &Planner::killVms,
                                                  &Planner::impairVmLink,
                                                  &Planner::silenceVmConnections,
                                                  &Planner::makeStoreUnavailable,
                                                  &Planner::freezeStore,
                                                  &Planner::killTargets,
                                                  &Planner::freezeTargets,
                                                  &Planner::impairTargetLinks,
                                                  &Planner::silenceTargetConnections,
                                                  &Planner::injectTargetFault,
                                                  &Planner::injectTargetFault,
                                                  &Planner::replaceTarget,
                                                  &Planner::replaceTarget,
                                                  &Planner::publish,
                                                  &Planner::publish,
                                                  &Planner::publishSeries,
                                                  &Planner::changeSettings,
                                                  &Planner::raiseLoad};
        if (m_plansLimitsFirst)
            planLimits(1);
        for (milliseconds at = FirstFault; at < m_length;
             at += milliseconds(drawInt(MeanGapMs / 3, MeanGapMs * 5 / 3))) {
            const PlanFault planFault =
                faultPlanners[static_cast<std::size_t>(drawInt(0, faultPlanners.size() - 1))];
            (this->*planFault)(at);
        }
        planSelfReports();
        if (!m_plansLimitsFirst) {
            m_limitRandom.seed(m_random() ^ LimitSeed);
            planLimits(MaxLimits);
        }
        std::stable_sort(m_plan.steps.begin(), m_plan.steps.end(),
                         [](const Step &a, const Step &b) { return a.at < b.at; });
        return std::move(m_plan);
    }

private:
    /// Returns a random number from `lowest` to `highest`, both included. Uses no standard
    /// distribution, as these differ between libraries and a seed must give the same plan
    /// everywhere.
    int drawInt(std::size_t lowest, std::size_t highest)
    {
        return static_cast<int>(lowest + m_random() % (highest - lowest + 1));
    }
    milliseconds drawTime(int lowest, int highest)
    {
        return milliseconds(
            drawInt(static_cast<std::size_t>(lowest), static_cast<std::size_t>(highest)));
    }
    bool drawBool() { return drawInt(0, 1) == 1; }

    /// Reserves an object for a fault. Returns false if another fault has reserved it, or if the
    /// new fault would not be over by the end of the plan.
    bool tryReserve(milliseconds &busyUntil, milliseconds from, milliseconds to)
    {
        if (from < busyUntil || to > m_length)
            return false;
        busyUntil = to;
        return true;
    }
    bool tryReserveGroup(int group, milliseconds from, milliseconds to)
    {
        const auto index = static_cast<std::size_t>(group);
        const auto isLimited = [from, to](const std::pair<milliseconds, milliseconds> &time) {
            return time.first <= to && from <= time.second;
        };
        if (std::any_of(m_firstLimits[index].begin(), m_firstLimits[index].end(), isLimited)
            || !tryReserve(m_groupBusyUntil[index], from, to))
            return false;
        m_groupFaults[index].emplace_back(from, to);
        return true;
    }
    std::optional<int> tryReserveVm(milliseconds from, milliseconds to)
    {
        const int vm = drawInt(0, static_cast<std::size_t>(m_shape.vms) - 1);
        if (!tryReserve(m_vmBusyUntil[static_cast<std::size_t>(vm)], from, to))
            return std::nullopt;
        return vm;
    }

    std::size_t addFault(std::string description, std::vector<Disturbance> disturbances)
    {
        m_plan.faults.push_back({std::move(description), std::move(disturbances)});
        return m_plan.faults.size() - 1;
    }
    void addStep(std::size_t fault, milliseconds at, Action action)
    {
        m_plan.steps.push_back({at, std::move(action), fault});
    }
    static Disturbance makeDisturbance(Subject subject, int index, bool isPlanned = false)
    {
        Disturbance disturbance;
        disturbance.subject = subject;
        disturbance.index = index;
        disturbance.isPlanned = isPlanned;
        return disturbance;
    }

    void killVm(milliseconds at)
    {
        const milliseconds end = at + drawTime(300, 2500);
        const auto vm = tryReserveVm(at, end);
        if (!vm)
            return;
        const std::size_t id = addFault("VM killed", {makeDisturbance(Subject::Vm, *vm)});
        addStep(id, at, SignalVm{*vm, SIGKILL});
        addStep(id, end, RestartVm{*vm});
    }

    void killVms(milliseconds at)
    {
        const milliseconds end = at + drawTime(300, 1500);
        for (int vm = 0; vm < m_shape.vms; ++vm) {
            if (drawInt(0, 3) == 0
                || !tryReserve(m_vmBusyUntil[static_cast<std::size_t>(vm)], at, end))
                continue;
            const std::size_t id =
                addFault("VMs killed together", {makeDisturbance(Subject::Vm, vm)});
            addStep(id, at, SignalVm{vm, SIGKILL});
            addStep(id, end, RestartVm{vm});
        }
    }

    void freezeVm(milliseconds at)
    {
        const milliseconds end = at + drawTime(200, 4000);
        const auto vm = tryReserveVm(at, end);
        if (!vm)
            return;
        const std::size_t id = addFault("VM frozen", {makeDisturbance(Subject::Vm, *vm)});
        addStep(id, at, SignalVm{*vm, SIGSTOP});
        addStep(id, end, SignalVm{*vm, SIGCONT});
    }

    void stopVm(milliseconds at)
    {
        const milliseconds end = at + StopGracePeriod + milliseconds(300);
        const auto vm = tryReserveVm(at, end);
        if (!vm)
            return;
        const std::size_t id = addFault("VM stopped", {makeDisturbance(Subject::Vm, *vm, true)});
        addStep(id, at, SignalVm{*vm, SIGTERM});
        addStep(id, end, RestartVm{*vm});
    }

    void impairVmLink(milliseconds at)
    {
        static constexpr std::array states{State::Blocked, State::BlockedToEndpoint,
                                           State::BlockedFromEndpoint, State::Cut, State::Slow};
        const milliseconds end = at + drawTime(300, 5000);
        const auto vm = tryReserveVm(at, end);
        if (!vm)
            return;
        const auto side = drawInt(0, 2) == 0 ? SetVmLink::Side::Callers : SetVmLink::Side::Store;
        const State state = states[static_cast<std::size_t>(drawInt(0, states.size() - 1))];
        const std::size_t id = addFault(side == SetVmLink::Side::Store ? "VM cut off from the store"
                                                                       : "VM cut off from callers",
                                        {makeDisturbance(Subject::Vm, *vm)});
        addStep(id, at, SetVmLink{*vm, side, state});
        addStep(id, end, SetVmLink{*vm, side, State::Open});
    }

    void silenceVmConnections(milliseconds at)
    {
        const auto vm = tryReserveVm(at, at + milliseconds(1));
        if (!vm)
            return;
        Disturbance silence = makeDisturbance(Subject::Vm, *vm);
        silence.silencesConnections = true;
        addStep(addFault("VM connections silenced", {silence}), at, SilenceVmConnections{*vm});
    }

    void makeStoreUnavailable(milliseconds at)
    {
        static const std::array<std::string, 2> modes{"down", "silent"};
        const milliseconds end = at + drawTime(300, 6000);
        if (!tryReserve(m_storeBusyUntil, at, end))
            return;
        const std::size_t id = addFault("store unavailable", {makeDisturbance(Subject::Store, 0)});
        addStep(id, at, SetStoreMode{modes[static_cast<std::size_t>(drawInt(0, 1))]});
        if (drawBool())
            addStep(id, end, SetStoreMode{"forget"});
        addStep(id, end, SetStoreMode{"ok"});
    }

    void freezeStore(milliseconds at)
    {
        const milliseconds end = at + drawTime(200, 2000);
        if (!tryReserve(m_storeBusyUntil, at, end))
            return;
        const std::size_t id = addFault("store frozen", {makeDisturbance(Subject::Store, 0)});
        addStep(id, at, SignalStore{SIGSTOP});
        addStep(id, end, SignalStore{SIGCONT});
    }

    void killTargets(milliseconds at)
    {
        const int group = drawInt(0, TargetGroups - 1);
        const milliseconds end = at + EntryExpiry + drawTime(100, 1500);
        if (!tryReserveGroup(group, at, end))
            return;
        const std::size_t id =
            addFault("targets killed", {makeDisturbance(Subject::Targets, group)});
        addStep(id, at, SignalTargets{group, SIGKILL});
        addStep(id, end, RestartTargets{group});
    }

    void freezeTargets(milliseconds at)
    {
        const int group = drawInt(0, TargetGroups - 1);
        const milliseconds end = at + drawTime(100, 2500);
        if (!tryReserveGroup(group, at, end))
            return;
        const std::size_t id =
            addFault("targets frozen", {makeDisturbance(Subject::Targets, group)});
        addStep(id, at, SignalTargets{group, SIGSTOP});
        addStep(id, end, SignalTargets{group, SIGCONT});
    }

    void impairTargetLinks(milliseconds at)
    {
        static constexpr std::array states{State::Blocked, State::BlockedToEndpoint,
                                           State::BlockedFromEndpoint, State::Cut, State::Slow};
        const int group = drawInt(0, TargetGroups - 1);
        const milliseconds end = at + drawTime(100, 3000);
        if (!tryReserveGroup(group, at, end))
            return;
        const State state = states[static_cast<std::size_t>(drawInt(0, states.size() - 1))];
        const std::size_t id =
            addFault("targets cut off", {makeDisturbance(Subject::Targets, group)});
        addStep(id, at, SetTargetLink{group, state});
        addStep(id, end, SetTargetLink{group, State::Open});
    }

    void silenceTargetConnections(milliseconds at)
    {
        const int group = drawInt(0, TargetGroups - 1);
        if (!tryReserveGroup(group, at, at + milliseconds(1)))
            return;
        addStep(addFault("target connections silenced", {makeDisturbance(Subject::Targets, group)}),
                at, SilenceTargetConnections{group});
    }

    int targetsPerGroup() const
    {
        return m_shape.shards + m_shape.reshardedShards
            + (1 + MovingServices) * m_shape.pooledTargetCount;
    }

    void injectTargetFault(milliseconds at)
    {
        static const std::array<std::string, 7> modes{"shed", "lose", "extra", "cut",
                                                      "fail", "mute", "slow"};
        const int group = drawInt(0, TargetGroups - 1);
        const int target = drawInt(0, static_cast<std::size_t>(targetsPerGroup()) - 1);
        const milliseconds end = at + drawTime(500, 4000);
        if (!tryReserveGroup(group, at, end))
            return;
        const std::string &mode = modes[static_cast<std::size_t>(drawInt(0, modes.size() - 1))];
        const std::size_t id = addFault("target set to mode " + mode, {});
        addStep(id, at, SetTargetMode{group, target, mode});
        addStep(id, end, SetTargetMode{group, target, "ok"});
    }

    void replaceTarget(milliseconds at)
    {
        const int group = drawInt(0, TargetGroups - 1);
        const int target = drawInt(0, static_cast<std::size_t>(targetsPerGroup()) - 1);
        const milliseconds stopTime = at + DrainTime + drawTime(200, 2000);
        const milliseconds end = stopTime + AddressReuseDelay + drawTime(0, 500);
        if (!tryReserveGroup(group, at, end))
            return;
        const std::size_t id = addFault("target replaced", {});
        addStep(id, at, DrainTarget{group, target});
        addStep(id, stopTime, StopTarget{group, target});
        addStep(id, end, ReplaceTarget{group, target, drawInt(0, 2) == 0});
    }

    /// Plans targets that say in their responses that they leave, that ask for a pause, or whose
    /// responses never end, at times when nothing else affects their group. Uses random numbers of
    /// its own, so that the rest of a seed's plan does not depend on it.
    void planSelfReports()
    {
        static const std::array<std::string, 4> modes{"leaving", "pause", "endless-head",
                                                      "endless-body"};
        std::mt19937_64 random(m_random() ^ SelfReportSeed);
        const auto draw = [&random](std::size_t lowest, std::size_t highest) {
            return static_cast<int>(lowest + random() % (highest - lowest + 1));
        };
        for (milliseconds at = FirstFault; at < m_length; at += milliseconds(draw(300, 1700))) {
            const auto group = static_cast<std::size_t>(draw(0, TargetGroups - 1));
            const int target = draw(0, static_cast<std::size_t>(targetsPerGroup()) - 1);
            const std::string &mode = modes[static_cast<std::size_t>(draw(0, modes.size() - 1))];
            const bool isLeaving = mode == "leaving";
            const milliseconds stopTime = at + DrainTime + milliseconds(draw(500, 2500));
            const milliseconds end =
                isLeaving ? stopTime + AddressReuseDelay : at + milliseconds(draw(500, 4000));
            const auto overlaps = [&](const std::pair<milliseconds, milliseconds> &fault) {
                return fault.first <= end && at <= fault.second;
            };
            if (end > m_length
                || std::any_of(m_groupFaults[group].begin(), m_groupFaults[group].end(), overlaps))
                continue;
            m_groupFaults[group].emplace_back(at, end);
            const std::size_t id = addFault("target set to mode " + mode, {});
            addStep(id, at, SetTargetMode{static_cast<int>(group), target, mode});
            if (isLeaving) {
                // Its entry says that it is ready until it ends.
                addStep(id, stopTime, StopTarget{static_cast<int>(group), target});
                addStep(id, end, ReplaceTarget{static_cast<int>(group), target, false});
            } else {
                addStep(id, end, SetTargetMode{static_cast<int>(group), target, "ok"});
            }
        }
    }

    /// Plans up to `most` targets that name limits, long enough for the bound on what they get to
    /// apply, and a time after each in which its load comes back.
    void planLimits(std::size_t most)
    {
        const auto draw = [this](std::size_t lowest, std::size_t highest) {
            return static_cast<int>(lowest + m_limitRandom() % (highest - lowest + 1));
        };
        std::size_t planned = 0;
        for (milliseconds at = FirstFault; at < m_length; at += milliseconds(draw(500, 3000))) {
            const auto group = static_cast<std::size_t>(draw(0, TargetGroups - 1));
            const int target = draw(0, static_cast<std::size_t>(targetsPerGroup()) - 1);
            const milliseconds end = at + milliseconds(draw(8500, 14000));
            const milliseconds returned = end + LimitReturnTime;
            const auto overlaps = [&](const std::pair<milliseconds, milliseconds> &fault) {
                return fault.first <= returned && at <= fault.second;
            };
            if (end > m_length
                || std::any_of(m_groupFaults[group].begin(), m_groupFaults[group].end(), overlaps))
                continue;
            m_groupFaults[group].emplace_back(at, returned);
            if (m_plansLimitsFirst)
                m_firstLimits[group].emplace_back(at, returned);
            const std::string mode = "limit=" + std::to_string(draw(0, 8));
            const std::size_t id = addFault("target set to mode " + mode, {});
            addStep(id, at, SetTargetMode{static_cast<int>(group), target, mode});
            addStep(id, end, SetTargetMode{static_cast<int>(group), target, "ok"});
            if (++planned == most)
                return;
        }
    }

    void publish(milliseconds at)
    {
        if (!tryReserve(m_storeBusyUntil, at, at + milliseconds(1)))
            return;
        addStep(addFault("configuration published", {}), at, PublishNextConfig{});
    }

    void publishSeries(milliseconds at)
    {
        constexpr int seriesLength = 3;
        const milliseconds gap = drawTime(150, 600);
        if (!tryReserve(m_storeBusyUntil, at, at + gap * seriesLength))
            return;
        const std::size_t id = addFault("configurations published in series", {});
        for (int i = 0; i < seriesLength; ++i)
            addStep(id, at + gap * i, PublishNextConfig{});
    }

    void changeSettings(milliseconds at)
    {
        const int vm = drawInt(0, static_cast<std::size_t>(m_shape.vms) - 1);
        addStep(addFault("settings changed", {}), at, ChangeSettings{vm, drawBool()});
    }

    void raiseLoad(milliseconds at)
    {
        const milliseconds end = at + drawTime(500, 2500);
        if (!tryReserve(m_loadBusyUntil, at, end))
            return;
        const std::size_t id = addFault("request rate raised", {});
        addStep(id, at, SetLoadFactor{PeakLoadFactor});
        addStep(id, end, SetLoadFactor{1.0});
    }

    std::mt19937_64 m_random;
    bool m_plansLimitsFirst;
    std::mt19937_64 m_limitRandom;
    const Shape &m_shape;
    milliseconds m_length;
    Plan m_plan;
    std::vector<milliseconds> m_vmBusyUntil;
    std::array<milliseconds, TargetGroups> m_groupBusyUntil{};
    /// The times at which faults affect each group.
    std::array<std::vector<std::pair<milliseconds, milliseconds>>, TargetGroups> m_groupFaults;
    /// The times at which a target of each group names a limit that was planned before all faults,
    /// and in which its load comes back.
    std::array<std::vector<std::pair<milliseconds, milliseconds>>, TargetGroups> m_firstLimits;
    milliseconds m_storeBusyUntil{0};
    milliseconds m_loadBusyUntil{0};
};

} // namespace

Plan makePlan(std::uint64_t seed, const Shape &shape, milliseconds length, bool isFaultFree)
{
    return isFaultFree ? Plan{} : Planner(seed, shape, length).make();
}

} // namespace mangoshift::soak
