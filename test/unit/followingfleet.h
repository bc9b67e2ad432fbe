#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/duty.h"
#include "entry/entrysettings.h"
#include "entry/storeview.h"
#include "mangoshift/statefollower.h"

namespace mangoshift::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs functions at their times, on a clock that only the simulation advances.
class Simulation
{
public:
    Clock::time_point now() const { return m_now; }
    void at(Clock::time_point time, std::function<void()> function)
    {
        m_events.emplace(std::max(time, m_now), std::move(function));
    }
    void after(Clock::duration delay, std::function<void()> function)
    {
        at(m_now + delay, std::move(function));
    }
    void runUntil(Clock::time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

private:
    Clock::time_point m_now{seconds(1000)};
    std::multimap<Clock::time_point, std::function<void()>> m_events;
};

/// A store that can be slow, refuse or lose requests, cut watches and discard its history.
class SimulatedStore
{
public:
    enum class Mode : std::uint8_t { Usual, Silent, Refusing, LosingAnswers };

    /// An entry of the store; it is kept after its removal.
    struct Entry
    {
        RegisteredTarget target;
        bool isRemoved = false;
        std::uint64_t revision = 0;
        Clock::time_point changedAt;
    };
    /// The last change of a request to evacuate a failure domain.
    struct Evacuation
    {
        bool isRequested = false;
        std::uint64_t revision = 0;
        Clock::time_point changedAt;
    };
    struct Change
    {
        std::uint64_t revision;
        /// No value if the configuration or an evacuation changed.
        std::optional<TargetId> target;
        std::optional<std::string> evacuation = std::nullopt;
    };
    /// A response; no value if the request was refused or its connection closed.
    struct Response
    {
        bool isHistoryGone = false;
        std::uint64_t revision = 0;
        std::vector<Entry> targets;
        /// Zero if the response does not contain the configuration.
        ConfigVersion version = 0;
        std::map<std::string, Evacuation> evacuations;
        bool isLast = true;
        std::string lastKey;
    };
    using Respond = std::function<void(const std::optional<Response> &)>;

    SimulatedStore(Simulation &simulation, std::mt19937_64 &random)
        : m_simulation(simulation)
        , m_random(random)
    {
    }

    void put(RegisteredTarget target)
    {
        Entry &entry = m_entries[target.id];
        target.sequence = entry.target.sequence + 1;
        entry = {target, false, ++m_revision, m_simulation.now()};
        append({m_revision, target.id});
    }
    void remove(const TargetId &id)
    {
        Entry &entry = m_entries.at(id);
        entry.isRemoved = true;
        entry.revision = ++m_revision;
        entry.changedAt = m_simulation.now();
        append({m_revision, id});
    }
    void publish()
    {
        ++m_revision;
        ++m_version;
        m_versionChangedAt = m_simulation.now();
        append({m_revision, std::nullopt});
    }
    void evacuate(const std::string &failureDomain, bool isRequested)
    {
        Evacuation &evacuation = m_evacuations[failureDomain];
        if (evacuation.isRequested == isRequested)
            return;
        evacuation = {isRequested, ++m_revision, m_simulation.now()};
        append({m_revision, std::nullopt, failureDomain});
    }
    void setMode(Mode mode) { m_mode = mode; }
    void setLatency(milliseconds latency) { m_latency = latency; }
    void setRejected(std::set<VmId> vms) { m_rejected = std::move(vms); }
    void discardHistory()
    {
        m_history.clear();
        m_oldestRevision = m_revision;
    }
    /// Closes the connections whose watch is waiting, of one VM or of all.
    void cutWatches(const VmId &vm = {})
    {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            const bool isCut = vm.empty() || it->second.vm == vm;
            if (isCut)
                m_simulation.after(m_latency, [respond = it->second.respond] { respond({}); });
            it = isCut ? m_watches.erase(it) : std::next(it);
        }
    }
    /// Drops the watches that wait, without any notice to the VMs.
    void loseWatches() { m_watches.clear(); }

    void list(const VmId &vm, const std::string &afterKey, const Respond &respond)
    {
        if (!isServed(vm, respond))
            return;
        Response response;
        response.revision = m_revision;
        response.version = afterKey.empty() ? m_version : 0;
        if (afterKey.empty())
            for (const auto &[domain, evacuation] : m_evacuations)
                if (evacuation.isRequested)
                    response.evacuations.emplace(domain, evacuation);
        for (auto it = m_entries.upper_bound(afterKey); it != m_entries.end(); ++it) {
            if (it->second.isRemoved)
                continue;
            if (response.targets.size() == PageSize) {
                response.isLast = false;
                break;
            }
            response.targets.push_back(it->second);
            response.lastKey = it->first;
        }
        send(respond, response);
    }
    void watch(const VmId &vm, std::uint64_t after, milliseconds wait, const Respond &respond)
    {
        if (!isServed(vm, respond))
            return;
        if (after >= m_oldestRevision && after < m_revision) {
            send(respond, changesAfter(after));
            return;
        }
        const std::uint64_t id = ++m_lastWatch;
        m_watches.emplace(id, Watch{vm, after, respond});
        m_simulation.after(wait, [this, id] {
            const auto watch = m_watches.extract(id);
            if (!watch.empty())
                send(watch.mapped().respond, changesAfter(watch.mapped().after));
        });
    }

    const std::map<TargetId, Entry> &entries() const { return m_entries; }
    const std::map<std::string, Evacuation> &evacuations() const { return m_evacuations; }
    ConfigVersion version() const { return m_version; }
    Clock::time_point versionChangedAt() const { return m_versionChangedAt; }
    std::uint64_t reads() const { return m_reads; }

private:
    static constexpr std::size_t PageSize = 20;

    struct Watch
    {
        VmId vm;
        std::uint64_t after;
        Respond respond;
    };

    bool isServed(const VmId &vm, const Respond &respond)
    {
        ++m_reads;
        if (m_mode == Mode::Silent)
            return false;
        if (m_mode != Mode::Refusing && !m_rejected.contains(vm))
            return true;
        m_simulation.after(m_latency, [respond] { respond({}); });
        return false;
    }
    void send(const Respond &respond, const Response &response)
    {
        const bool isLost = m_mode == Mode::LosingAnswers && m_random() % 3 == 0;
        if (!isLost)
            m_simulation.after(m_latency, [respond, response] { respond(response); });
    }
    Response changesAfter(std::uint64_t after) const
    {
        Response response;
        response.revision = m_revision;
        // A history that is gone is reported only when the watch ends.
        response.isHistoryGone = after < m_oldestRevision;
        for (const Change &change : m_history) {
            if (change.revision <= after)
                continue;
            if (change.target)
                response.targets.push_back(m_entries.at(*change.target));
            else if (change.evacuation)
                response.evacuations[*change.evacuation] = m_evacuations.at(*change.evacuation);
            else
                response.version = m_version;
        }
        return response;
    }
    void append(const Change &change)
    {
        m_history.push_back(change);
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            const bool isDue = it->second.after >= m_oldestRevision;
            if (isDue)
                send(it->second.respond, changesAfter(it->second.after));
            it = isDue ? m_watches.erase(it) : std::next(it);
        }
    }

    Simulation &m_simulation;
    std::mt19937_64 &m_random;
    Mode m_mode = Mode::Usual;
    milliseconds m_latency{5};
    std::set<VmId> m_rejected;
    std::uint64_t m_revision = 100;
    std::uint64_t m_oldestRevision = 0;
    std::map<TargetId, Entry> m_entries;
    std::map<std::string, Evacuation> m_evacuations;
    std::vector<Change> m_history;
    ConfigVersion m_version = 0;
    Clock::time_point m_versionChangedAt{};
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::uint64_t m_reads = 0;
};

/// VMs that follow the store and each other through `StateFollower` and `StoreView`, as the
/// registry duty of a process does.
class FollowingFleet
{
public:
    /// `domains` is the failure domain of each VM.
    FollowingFleet(const std::vector<std::string> &domains, Simulation &simulation,
                   SimulatedStore &store)
        : m_simulation(simulation)
        , m_store(store)
    {
        auto view = std::make_shared<MemberView>();
        for (std::size_t i = 0; i < domains.size(); ++i) {
            const VmId vm = "vm" + std::to_string(i);
            view->members.push_back({vm, domains[i], "region", "at-" + vm, i + 1, false, false});
        }
        for (const Member &member : view->members) {
            auto added = std::make_unique<Vm>(member, m_simulation.now());
            added->follower.setMembers(view);
            m_vms.emplace(member.vm, std::move(added));
        }
        for (auto &[id, vm] : m_vms)
            fetchNext(*vm);
    }

    std::vector<VmId> vms() const
    {
        std::vector<VmId> ids;
        for (const auto &[id, vm] : m_vms)
            ids.push_back(id);
        return ids;
    }
    /// Freezes a VM: what happens to it meanwhile, it handles when it wakes.
    void freeze(const VmId &vm, Clock::duration time)
    {
        m_vms.at(vm)->frozenUntil = m_simulation.now() + time;
    }
    Clock::time_point frozenUntil(const VmId &vm) const { return m_vms.at(vm)->frozenUntil; }
    /// Returns how many replies with state the VM that sent the most has sent.
    std::uint64_t mostReplies() const
    {
        std::uint64_t most = 0;
        for (const auto &[id, vm] : m_vms)
            most = std::max(most, vm->replies);
        return most;
    }
    const StateFollower &follower(const VmId &vm) const { return m_vms.at(vm)->follower; }
    const StoreView &view(const VmId &vm) const { return m_vms.at(vm)->view; }

    /// Returns whether a VM's view of a target is that of the store. A removal that is held back
    /// counts as seen only if `acceptsHeld`.
    bool hasSeen(const VmId &vm, const SimulatedStore::Entry &entry, bool acceptsHeld) const
    {
        const TargetRegistry &registry = view(vm).registry();
        const auto known = registry.targets().find(entry.target.id);
        if (entry.isRemoved)
            return known == registry.targets().end()
                || (acceptsHeld && registry.isRemovalHeld(entry.target.id));
        return known != registry.targets().end()
            && known->second.isDraining == entry.target.isDraining;
    }

private:
    static constexpr milliseconds PeerLatency{2};

    struct Pull
    {
        VmId from;
        std::uint64_t sequence;
        KnownState known;
        Clock::time_point replyBy;
    };
    struct Vm
    {
        Vm(const Member &member, Clock::time_point now)
            : id(member.vm)
            , follower(member, {}, EntrySettings().watchWait, now)
            , view(milliseconds(2300), milliseconds(2400))
        {
        }
        VmId id;
        StateFollower follower;
        StoreView view;
        std::vector<RegisteredTarget> listed;
        std::set<std::string> listedEvacuations;
        /// Identifies the fetch in flight; a response to an earlier one is ignored.
        std::uint64_t fetch = 0;
        std::uint64_t wakeUp = 0;
        std::vector<Pull> pulls;
        Clock::time_point frozenUntil{};
        std::uint64_t replies = 0;
    };

    /// Runs `function` at `at`, or when the VM wakes.
    void runAt(Clock::time_point at, Vm &vm, std::function<void()> function)
    {
        m_simulation.at(at, [this, &vm, function = std::move(function)] {
            if (m_simulation.now() < vm.frozenUntil)
                runAt(vm.frozenUntil, vm, function);
            else
                function();
        });
    }
    void runNow(Vm &vm, const std::function<void()> &function)
    {
        if (m_simulation.now() < vm.frozenUntil)
            runAt(vm.frozenUntil, vm, function);
        else
            function();
    }

    void fetchNext(Vm &vm)
    {
        const auto fetch = vm.follower.next(m_simulation.now());
        if (!fetch) {
            const Clock::time_point at = vm.follower.nextAt(m_simulation.now());
            if (at != Clock::time_point::max())
                runAt(at, vm, [this, &vm, wakeUp = ++vm.wakeUp] {
                    if (wakeUp == vm.wakeUp)
                        fetchNext(vm);
                });
            return;
        }
        ++vm.wakeUp;
        const std::uint64_t number = ++vm.fetch;
        std::visit(
            Overloaded{
                [&](const ListStore &list) {
                    if (list.afterKey.empty()) {
                        vm.listed.clear();
                        vm.listedEvacuations.clear();
                    }
                    failAfter(vm, list.timeout, number);
                    m_store.list(vm.id, list.afterKey, onStore(vm, number, true));
                },
                [&](const WatchStore &watch) {
                    failAfter(vm, watch.timeout, number);
                    m_store.watch(vm.id, watch.revision, watch.wait, onStore(vm, number, false));
                },
                [&](const PullFromPeer &pull) {
                    failAfter(vm, pull.timeout, number);
                    Vm &peer = *m_vms.at(pull.vm);
                    const KnownState known{pull.revision, vm.view.configurationVersion()};
                    runAt(m_simulation.now() + PeerLatency, peer,
                          [this, &vm, &peer, pull, known, number] {
                              onPull(peer, {vm.id, number, known, m_simulation.now() + pull.wait});
                          });
                }},
            *fetch);
    }
    void failAfter(Vm &vm, milliseconds timeout, std::uint64_t number)
    {
        runAt(m_simulation.now() + timeout, vm, [this, &vm, number] { onFailure(vm, number); });
    }
    void onFailure(Vm &vm, std::uint64_t number)
    {
        if (number != vm.fetch || !vm.follower.source())
            return;
        ++vm.fetch;
        if (std::holds_alternative<FromStore>(*vm.follower.source()))
            vm.follower.onStoreFailure(m_simulation.now());
        else
            vm.follower.onPeerFailure(m_simulation.now());
        fetchNext(vm);
    }

    SimulatedStore::Respond onStore(Vm &vm, std::uint64_t number, bool isListing)
    {
        return [this, &vm, number,
                isListing](const std::optional<SimulatedStore::Response> &response) {
            runNow(vm, [this, &vm, number, isListing, response] {
                onResponse(vm, number, isListing, response);
            });
        };
    }
    void onResponse(Vm &vm, std::uint64_t number, bool isListing,
                    const std::optional<SimulatedStore::Response> &response)
    {
        if (number != vm.fetch)
            return;
        if (!response) {
            onFailure(vm, number);
            return;
        }
        ++vm.fetch;
        if (response->isHistoryGone)
            vm.follower.onHistoryLost();
        else
            apply(vm, *response, isListing);
        fetchNext(vm);
    }
    void apply(Vm &vm, const SimulatedStore::Response &response, bool isListing)
    {
        const Clock::time_point now = m_simulation.now();
        const std::uint64_t before = vm.follower.revision();
        if (isListing)
            vm.follower.onPage(response.revision, response.isLast, response.lastKey, now);
        else
            vm.follower.onChanges(response.revision,
                                  response.version != 0 || !response.targets.empty()
                                      || !response.evacuations.empty(),
                                  now);
        if (vm.follower.takeStoreRecovered())
            vm.view.onStoreRecovered(now);
        vm.view.onStoreContact(now);
        const std::uint64_t revision =
            isListing ? vm.follower.listingRevision() : response.revision;
        if (response.version != 0)
            adopt(vm, response.version);
        for (const auto &[domain, evacuation] : response.evacuations) {
            if (isListing)
                vm.listedEvacuations.insert(domain);
            vm.view.setEvacuation(domain, evacuation.isRequested,
                                  std::max(evacuation.revision, revision));
        }
        for (const SimulatedStore::Entry &entry : response.targets) {
            if (isListing)
                vm.listed.push_back(entry.target);
            else if (entry.isRemoved)
                vm.view.remove(entry.target.id, revision, now);
            else
                vm.view.put(entry.target, revision);
        }
        if (isListing && !vm.follower.isListing()) {
            vm.view.replaceEvacuations(vm.listedEvacuations, revision);
            vm.view.replaceAll(vm.listed, before, revision, now);
        }
        onUpdated(vm);
    }
    static void adopt(Vm &vm, ConfigVersion version)
    {
        RoutingDocument document;
        document.version = version;
        vm.view.adopt(document, std::to_string(version));
    }
    void onUpdated(Vm &vm)
    {
        if (const auto expiry = vm.view.nextExpiry())
            runAt(*expiry, vm,
                  [this, &vm] { vm.view.expire(vm.follower.revision(), m_simulation.now()); });
        if (!vm.view.hasState())
            return;
        const bool hasNewContact = vm.follower.takeNewContact();
        std::vector<Pull> pulls;
        pulls.swap(vm.pulls);
        for (const Pull &pull : pulls)
            if (hasNewContact)
                reply(vm, pull);
            else
                onPull(vm, pull);
    }

    /// Replies to a pull if there are changes or its time has come, and holds it otherwise.
    void onPull(Vm &vm, const Pull &pull)
    {
        const Clock::time_point now = m_simulation.now();
        const Clock::time_point replyBy = std::clamp(
            vm.view.lastContact() + StateFollower::MaxStateAge, now, std::max(now, pull.replyBy));
        const KnownState state{vm.follower.revision(), vm.view.configurationVersion()};
        if (replyBy > now && (!vm.view.hasState() || !hasMore(state, pull.known))) {
            vm.pulls.push_back({pull.from, pull.sequence, pull.known, replyBy});
            runAt(replyBy, vm, [this, &vm, sequence = pull.sequence, from = pull.from] {
                const auto due = std::find_if(vm.pulls.begin(), vm.pulls.end(), [&](const Pull &p) {
                    return p.sequence == sequence && p.from == from;
                });
                if (due == vm.pulls.end())
                    return;
                const Pull held = *due;
                vm.pulls.erase(due);
                reply(vm, held);
            });
            return;
        }
        reply(vm, pull);
    }
    void reply(Vm &vm, const Pull &pull)
    {
        ++vm.replies;
        const PeerState state =
            vm.view.stateAfter(pull.known, vm.follower.revision(), m_simulation.now());
        Vm &puller = *m_vms.at(pull.from);
        runAt(m_simulation.now() + PeerLatency, puller, [this, pull, state, &puller] {
            if (pull.sequence == puller.fetch)
                onPeerState(puller, state);
        });
    }
    void onPeerState(Vm &vm, const PeerState &state)
    {
        ++vm.fetch;
        const Clock::time_point now = m_simulation.now();
        const std::uint64_t before = vm.follower.revision();
        const PeerStateUse use = vm.follower.onPeerState(state.revision, now - state.age, now);
        if (use.shouldApply) {
            if (!state.configuration.empty())
                adopt(vm, std::stoull(state.configuration));
            if (state.evacuatedDomains)
                vm.view.replaceEvacuations(*state.evacuatedDomains, state.revision);
            vm.view.apply(state, before, now);
            onUpdated(vm);
        }
        fetchNext(vm);
    }

    Simulation &m_simulation;
    SimulatedStore &m_store;
    std::map<VmId, std::unique_ptr<Vm>> m_vms;
};

} // namespace mangoshift::testing
