#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/membership.h"

namespace mangoshift::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A simulated fleet of `Membership` machines. Its network loses, duplicates, reorders and cuts off
/// messages. All randomness comes from one seed, and time from a simulated clock.
class Fleet
{
public:
    explicit Fleet(std::size_t size, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            start("vm" + std::to_string(i));
    }

    /// Starts a new run of `vm` in place of any earlier one.
    void start(const std::string &vm, bool isStarting = false)
    {
        const std::string domain = "domain" + std::to_string(m_machines.size() % 3);
        const Member self{vm, domain, "region", vm, m_random() >> 33U, false, isStarting};
        m_everStarted.emplace(vm, self);
        m_killed.erase(vm);
        m_machines.erase(vm);
        m_machines.emplace(vm, Membership(self, {}, m_random(), m_now));
        m_nextTick[vm] = m_now + milliseconds(m_random() % 100);
    }

    /// Delivers the platform's list, which names every VM that was ever started, to every machine
    /// that is not paused.
    void readLists()
    {
        std::vector<Member> listed;
        for (const auto &[vm, member] : m_everStarted)
            listed.push_back(member);
        for (auto &[vm, machine] : m_machines)
            if (!m_paused.contains(vm))
                perform(vm, machine.onPlatformList(listed, m_now, m_now));
    }

    /// Delivers the records of all machines to every machine, as if the fleet had long converged.
    void joinAll()
    {
        std::vector<MemberRecord> table;
        for (const auto &[vm, machine] : m_machines)
            table.push_back(machine.self());
        for (auto &[vm, machine] : m_machines)
            perform(vm, machine.onTable(table, m_now));
    }

    /// Advances the simulation by `time`.
    void run(Clock::duration time)
    {
        const Clock::time_point end = m_now + time;
        for (; m_now < end; m_now += Step) {
            deliver();
            for (auto &[vm, machine] : m_machines) {
                if (m_paused.contains(vm) || m_now < m_nextTick[vm])
                    continue;
                m_nextTick[vm] = m_now + milliseconds(100);
                perform(vm, machine.onTick(m_now));
            }
        }
    }

    /// Runs until `condition` holds, but at most for `limit`. Returns the simulated time taken.
    Clock::duration runUntil(const std::function<bool()> &condition, Clock::duration limit)
    {
        const Clock::time_point from = m_now;
        while (!condition() && m_now - from < limit)
            run(Step);
        return m_now - from;
    }

    void kill(const std::string &vm)
    {
        m_machines.erase(vm);
        m_paused.erase(vm);
        m_killed.insert(vm);
    }
    void pause(const std::string &vm) { m_paused.insert(vm); }
    void unpause(const std::string &vm) { m_paused.erase(vm); }
    /// Performs the actions that the machine of `vm` returned.
    void perform(const std::string &vm, const MembershipActions &actions)
    {
        for (const MembershipAction &action : actions) {
            if (const auto *heartbeat = std::get_if<SendHeartbeat>(&action))
                send(vm, heartbeat->address, heartbeat->message);
            else if (const auto *pull = std::get_if<PullMembers>(&action))
                this->pull(vm, pull->vm);
            else if (const auto *change = std::get_if<MemberStateChanged>(&action))
                countChange(vm, *change);
        }
    }

    Membership &machine(const std::string &vm) { return m_machines.at(vm); }
    std::set<std::string> names() const
    {
        std::set<std::string> all;
        for (const auto &[vm, machine] : m_machines)
            all.insert(vm);
        return all;
    }
    std::set<std::string> viewOf(const std::string &vm) const
    {
        std::set<std::string> seen;
        for (const Member &member : m_machines.at(vm).view()->members)
            seen.insert(member.vm);
        return seen;
    }
    /// Returns whether the view of every machine contains exactly the running machines.
    bool isConverged() const
    {
        const auto all = names();
        for (const std::string &vm : all)
            if (viewOf(vm) != all)
                return false;
        return true;
    }
    /// Returns the view of every machine as text, for the message of a failed check.
    std::string describe() const
    {
        std::string text;
        for (const std::string &vm : names()) {
            text += vm + ":";
            for (const std::string &seen : viewOf(vm))
                text += " " + seen;
            text += "\n";
        }
        return text;
    }
    Clock::time_point now() const { return m_now; }
    std::mt19937_64 &random() { return m_random; }
    /// Returns a random running machine.
    std::string anyVm()
    {
        auto it = m_machines.begin();
        std::advance(it, m_random() % m_machines.size());
        return it->first;
    }

    /// The probabilities that a message is lost or duplicated, and the longest delay of a message.
    double loss = 0;
    double duplication = 0;
    milliseconds maxDelay{5};
    /// Returns whether messages from the first VM to the second are cut off; empty if none are.
    std::function<bool(const std::string &, const std::string &)> isCut;
    /// For each machine, the deaths and suspicions that it recorded and the heartbeats that it
    /// sent.
    std::map<std::string, int> deaths;
    std::map<std::string, int> suspicions;
    std::map<std::string, std::size_t> heartbeats;
    /// Observers of every heartbeat that is sent and of every table that is pulled.
    std::function<void(const HeartbeatMessage &)> onSend;
    std::function<void(const std::vector<MemberRecord> &)> onPull;

private:
    struct Delivery
    {
        std::string to;
        std::variant<HeartbeatMessage, std::vector<MemberRecord>> content;
    };

    bool isLost(const std::string &from, const std::string &to)
    {
        if (isCut && isCut(from, to))
            return true;
        return std::uniform_real_distribution<double>(0, 1)(m_random) < loss;
    }

    Clock::time_point arrivalTime()
    {
        return m_now + milliseconds(m_random() % (maxDelay.count() + 1));
    }

    void countChange(const std::string &vm, const MemberStateChanged &change)
    {
        if (change.state == MemberState::Dead)
            ++deaths[vm];
        if (change.state == MemberState::Suspect)
            ++suspicions[vm];
    }

    void send(const std::string &from, const std::string &to, const HeartbeatMessage &message)
    {
        ++heartbeats[from];
        if (onSend)
            onSend(message);
        if (isLost(from, to))
            return;
        m_network.emplace(arrivalTime(), Delivery{to, message});
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < duplication)
            m_network.emplace(arrivalTime(), Delivery{to, message});
    }

    void pull(const std::string &from, const std::string &to)
    {
        const auto peer = m_machines.find(to);
        if (peer == m_machines.end() || m_paused.contains(to) || isLost(from, to))
            return;
        std::vector<MemberRecord> table = peer->second.table();
        if (onPull)
            onPull(table);
        m_network.emplace(arrivalTime(), Delivery{from, std::move(table)});
    }

    void deliver()
    {
        auto due = m_network.begin();
        while (due != m_network.end() && due->first <= m_now) {
            const auto it = m_machines.find(due->second.to);
            if (it == m_machines.end()) {
                due = m_network.erase(due);
                continue;
            }
            // Messages to a paused VM wait in its socket.
            if (m_paused.contains(due->second.to)) {
                ++due;
                continue;
            }
            const Delivery delivery = std::move(due->second);
            due = m_network.erase(due);
            if (const auto *message = std::get_if<HeartbeatMessage>(&delivery.content))
                perform(delivery.to, it->second.onHeartbeat(*message, m_now));
            else
                perform(delivery.to,
                        it->second.onTable(std::get<std::vector<MemberRecord>>(delivery.content),
                                           m_now));
        }
    }

    static constexpr milliseconds Step{10};

    std::mt19937_64 m_random;
    Clock::time_point m_now{std::chrono::hours(1)};
    std::map<std::string, Membership> m_machines;
    std::map<std::string, Member> m_everStarted;
    std::map<std::string, Clock::time_point> m_nextTick;
    std::set<std::string> m_paused;
    std::set<std::string> m_killed;
    std::multimap<Clock::time_point, Delivery> m_network;
};

} // namespace mangoshift::testing
