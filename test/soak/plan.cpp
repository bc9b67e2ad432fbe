#include "soak/plan.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <optional>
#include <random>

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Subject = Disturbance::Subject;
using State = SetVmLink::State;

constexpr milliseconds FirstFault{3000};
/// From one fault to the next, on average; several then go on at a time.
constexpr int MeanGapMs = 900;
/// What the stores of the users take to drop the entry of a server that has fallen silent: three
/// heartbeats of 1.2 s.
constexpr milliseconds EntryLapse{3600};
/// How long a stopped process may take before it is killed: the platform's grace.
constexpr milliseconds StopGrace{6000};
/// How long a draining server goes on serving, and how long its address then stays unused.
constexpr milliseconds DrainTime{3000};
constexpr milliseconds AddressRest{2000};
constexpr double PressureFactor = 5.0;

/// Draws faults and writes them down as steps. An object that a fault has in hand gets no other
/// before it is over, but any number of objects are in hand at once.
class Planner
{
public:
    Planner(std::uint64_t seed, const Shape &shape, milliseconds length)
        : m_random(seed)
        , m_shape(shape)
        , m_length(length)
        , m_vmBusy(static_cast<std::size_t>(shape.vms))
    {
    }

    Plan make()
    {
        using Draw = void (Planner::*)(milliseconds);
        static constexpr std::array draws{
            &Planner::killVm,        &Planner::freezeVm,       &Planner::stopVm,
            &Planner::killVms,       &Planner::cutVmLink,      &Planner::silenceVmLinks,
            &Planner::disturbStore,  &Planner::freezeStore,    &Planner::killServers,
            &Planner::freezeServers, &Planner::cutServerLinks, &Planner::silenceServerLinks,
            &Planner::spoilServer,   &Planner::spoilServer,    &Planner::replaceServer,
            &Planner::replaceServer, &Planner::publish,        &Planner::publish,
            &Planner::publishSeries, &Planner::changeSettings, &Planner::press};
        for (milliseconds at = FirstFault; at < m_length;
             at += milliseconds(pick(MeanGapMs / 3, MeanGapMs * 5 / 3))) {
            const Draw draw = draws[static_cast<std::size_t>(pick(0, draws.size() - 1))];
            (this->*draw)(at);
        }
        std::stable_sort(m_plan.steps.begin(), m_plan.steps.end(),
                         [](const Step &a, const Step &b) { return a.at < b.at; });
        return std::move(m_plan);
    }

private:
    /// Both ends belong to what can be drawn. Not a standard distribution, as those differ between
    /// libraries and a seed has to mean the same everywhere.
    int pick(std::size_t least, std::size_t most)
    {
        return static_cast<int>(least + m_random() % (most - least + 1));
    }
    milliseconds pickTime(int least, int most)
    {
        return milliseconds(pick(static_cast<std::size_t>(least), static_cast<std::size_t>(most)));
    }
    bool pickOne() { return pick(0, 1) == 1; }

    /// Takes an object in hand. Returns false where another fault has it, or would not be over.
    bool take(milliseconds &busyUntil, milliseconds from, milliseconds to)
    {
        if (from < busyUntil || to > m_length)
            return false;
        busyUntil = to;
        return true;
    }
    std::optional<int> takeVm(milliseconds from, milliseconds to)
    {
        const int vm = pick(0, static_cast<std::size_t>(m_shape.vms) - 1);
        if (!take(m_vmBusy[static_cast<std::size_t>(vm)], from, to))
            return std::nullopt;
        return vm;
    }

    std::size_t fault(std::string what, std::vector<Disturbance> disturbs)
    {
        m_plan.faults.push_back({std::move(what), std::move(disturbs)});
        return m_plan.faults.size() - 1;
    }
    void step(std::size_t fault, milliseconds at, Action action)
    {
        m_plan.steps.push_back({at, std::move(action), fault});
    }
    static Disturbance of(Subject subject, int index, bool isPlanned = false)
    {
        Disturbance disturbance;
        disturbance.subject = subject;
        disturbance.index = index;
        disturbance.isPlanned = isPlanned;
        return disturbance;
    }

    void killVm(milliseconds at)
    {
        const milliseconds end = at + pickTime(300, 2500);
        const auto vm = takeVm(at, end);
        if (!vm)
            return;
        const std::size_t id = fault("VM killed", {of(Subject::Vm, *vm)});
        step(id, at, SignalVm{*vm, SIGKILL});
        step(id, end, RestartVm{*vm});
    }

    void killVms(milliseconds at)
    {
        const milliseconds end = at + pickTime(300, 1500);
        for (int vm = 0; vm < m_shape.vms; ++vm) {
            if (pick(0, 3) == 0 || !take(m_vmBusy[static_cast<std::size_t>(vm)], at, end))
                continue;
            const std::size_t id = fault("VMs killed together", {of(Subject::Vm, vm)});
            step(id, at, SignalVm{vm, SIGKILL});
            step(id, end, RestartVm{vm});
        }
    }

    void freezeVm(milliseconds at)
    {
        const milliseconds end = at + pickTime(200, 4000);
        const auto vm = takeVm(at, end);
        if (!vm)
            return;
        const std::size_t id = fault("VM frozen", {of(Subject::Vm, *vm)});
        step(id, at, SignalVm{*vm, SIGSTOP});
        step(id, end, SignalVm{*vm, SIGCONT});
    }

    void stopVm(milliseconds at)
    {
        const milliseconds end = at + StopGrace + milliseconds(300);
        const auto vm = takeVm(at, end);
        if (!vm)
            return;
        const std::size_t id = fault("VM stopped", {of(Subject::Vm, *vm, true)});
        step(id, at, SignalVm{*vm, SIGTERM});
        step(id, end, RestartVm{*vm});
    }

    void cutVmLink(milliseconds at)
    {
        static constexpr std::array states{State::Blocked, State::BlockedToVm, State::BlockedFromVm,
                                           State::Cut, State::Slow};
        const milliseconds end = at + pickTime(300, 5000);
        const auto vm = takeVm(at, end);
        if (!vm)
            return;
        const auto side = pick(0, 2) == 0 ? SetVmLink::Side::Callers : SetVmLink::Side::Store;
        const State state = states[static_cast<std::size_t>(pick(0, states.size() - 1))];
        const std::size_t id = fault(side == SetVmLink::Side::Store ? "VM cut off from the store"
                                                                    : "VM cut off from callers",
                                     {of(Subject::Vm, *vm)});
        step(id, at, SetVmLink{*vm, side, state});
        step(id, end, SetVmLink{*vm, side, State::Open});
    }

    void silenceVmLinks(milliseconds at)
    {
        const auto vm = takeVm(at, at + milliseconds(1));
        if (!vm)
            return;
        Disturbance silence = of(Subject::Vm, *vm);
        silence.isSilencing = true;
        step(fault("VM's connections gone silent", {silence}), at, SilenceVmLinks{*vm});
    }

    void disturbStore(milliseconds at)
    {
        static const std::array<std::string, 2> modes{"down", "silent"};
        const milliseconds end = at + pickTime(300, 6000);
        if (!take(m_storeBusy, at, end))
            return;
        const std::size_t id = fault("store away", {of(Subject::Store, 0)});
        step(id, at, SetStore{modes[static_cast<std::size_t>(pick(0, 1))]});
        if (pickOne())
            step(id, end, SetStore{"forget"});
        step(id, end, SetStore{"ok"});
    }

    void freezeStore(milliseconds at)
    {
        const milliseconds end = at + pickTime(200, 2000);
        if (!take(m_storeBusy, at, end))
            return;
        const std::size_t id = fault("store frozen", {of(Subject::Store, 0)});
        step(id, at, SignalStore{SIGSTOP});
        step(id, end, SignalStore{SIGCONT});
    }

    void killServers(milliseconds at)
    {
        const int group = pick(0, ServerGroups - 1);
        const milliseconds end = at + EntryLapse + pickTime(100, 1500);
        if (!take(m_groupBusy[static_cast<std::size_t>(group)], at, end))
            return;
        const std::size_t id = fault("servers killed", {of(Subject::Servers, group)});
        step(id, at, SignalServers{group, SIGKILL});
        step(id, end, RestartServers{group});
    }

    void freezeServers(milliseconds at)
    {
        const int group = pick(0, ServerGroups - 1);
        const milliseconds end = at + pickTime(100, 2500);
        if (!take(m_groupBusy[static_cast<std::size_t>(group)], at, end))
            return;
        const std::size_t id = fault("servers frozen", {of(Subject::Servers, group)});
        step(id, at, SignalServers{group, SIGSTOP});
        step(id, end, SignalServers{group, SIGCONT});
    }

    void cutServerLinks(milliseconds at)
    {
        static constexpr std::array states{State::Blocked, State::BlockedToVm, State::BlockedFromVm,
                                           State::Cut, State::Slow};
        const int group = pick(0, ServerGroups - 1);
        const milliseconds end = at + pickTime(100, 3000);
        if (!take(m_groupBusy[static_cast<std::size_t>(group)], at, end))
            return;
        const State state = states[static_cast<std::size_t>(pick(0, states.size() - 1))];
        const std::size_t id = fault("servers cut off", {of(Subject::Servers, group)});
        step(id, at, SetServerLink{group, state});
        step(id, end, SetServerLink{group, State::Open});
    }

    void silenceServerLinks(milliseconds at)
    {
        const int group = pick(0, ServerGroups - 1);
        if (!take(m_groupBusy[static_cast<std::size_t>(group)], at, at + milliseconds(1)))
            return;
        step(fault("servers' connections gone silent", {of(Subject::Servers, group)}), at,
             SilenceServerLinks{group});
    }

    int serversOfGroup() const
    {
        return m_shape.shards + m_shape.otherShards + (1 + MovingServices) * m_shape.pooledServers;
    }

    void spoilServer(milliseconds at)
    {
        static const std::array<std::string, 7> modes{"shed", "lose", "extra", "cut",
                                                      "fail", "mute", "slow"};
        const int group = pick(0, ServerGroups - 1);
        const int server = pick(0, static_cast<std::size_t>(serversOfGroup()) - 1);
        const milliseconds end = at + pickTime(500, 4000);
        if (!take(m_groupBusy[static_cast<std::size_t>(group)], at, end))
            return;
        const std::string &mode = modes[static_cast<std::size_t>(pick(0, modes.size() - 1))];
        const std::size_t id = fault("server set to " + mode, {});
        step(id, at, SetServerMode{group, server, mode});
        step(id, end, SetServerMode{group, server, "ok"});
    }

    void replaceServer(milliseconds at)
    {
        const int group = pick(0, ServerGroups - 1);
        const int server = pick(0, static_cast<std::size_t>(serversOfGroup()) - 1);
        const milliseconds ended = at + DrainTime + pickTime(200, 2000);
        const milliseconds end = ended + AddressRest + pickTime(0, 500);
        if (!take(m_groupBusy[static_cast<std::size_t>(group)], at, end))
            return;
        const std::size_t id = fault("server replaced", {});
        step(id, at, DrainServer{group, server});
        step(id, ended, EndServer{group, server});
        step(id, end, ReplaceServer{group, server, pick(0, 2) == 0});
    }

    void publish(milliseconds at)
    {
        if (!take(m_storeBusy, at, at + milliseconds(1)))
            return;
        step(fault("configuration published", {}), at, PublishNext{});
    }

    void publishSeries(milliseconds at)
    {
        constexpr int series = 3;
        const milliseconds gap = pickTime(150, 600);
        if (!take(m_storeBusy, at, at + gap * series))
            return;
        const std::size_t id = fault("configurations published in series", {});
        for (int i = 0; i < series; ++i)
            step(id, at + gap * i, PublishNext{});
    }

    void changeSettings(milliseconds at)
    {
        const int vm = pick(0, static_cast<std::size_t>(m_shape.vms) - 1);
        step(fault("settings changed", {}), at, ChangeSettings{vm, pickOne()});
    }

    void press(milliseconds at)
    {
        const milliseconds end = at + pickTime(500, 2500);
        if (!take(m_pressBusy, at, end))
            return;
        const std::size_t id = fault("callers press", {});
        step(id, at, SetPressure{PressureFactor});
        step(id, end, SetPressure{1.0});
    }

    std::mt19937_64 m_random;
    const Shape &m_shape;
    milliseconds m_length;
    Plan m_plan;
    std::vector<milliseconds> m_vmBusy;
    std::array<milliseconds, ServerGroups> m_groupBusy{};
    milliseconds m_storeBusy{0};
    milliseconds m_pressBusy{0};
};

} // namespace

Plan makePlan(std::uint64_t seed, const Shape &shape, milliseconds length, bool isCalm)
{
    return isCalm ? Plan{} : Planner(seed, shape, length).make();
}

} // namespace mangoshift::soak
