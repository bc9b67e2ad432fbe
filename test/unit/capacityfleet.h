#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "entry/capacitywire.h"
#include "mangoshift/capacitypool.h"
#include "mangoshift/capacityrecorder.h"
#include "mangoshift/targetload.h"

namespace mangoshift {

/// The VMs of one failure domain and the targets they send to, without a network: requests,
/// responses and frames are events in a queue, with delays and losses. Each target of a shard gets
/// an equal share of its requests, and pauses now and then.
class CapacityFleet
{
public:
    using milliseconds = std::chrono::milliseconds;

    struct Terms
    {
        std::size_t vms = 27;
        std::size_t targets = 270;
        bool sharesCapacity = true;
        std::uint32_t seed = 1;
        /// How often a VM sends to a target, in requests a second.
        double rate = 0.2;
        double frameLoss = 0.01;
    };
    enum class Spell : std::uint8_t { Slow, Crash, Resets };

    static constexpr milliseconds Work{15};
    static constexpr milliseconds OverdueAfter{40};
    static constexpr milliseconds GivenUpAfter{300};
    static constexpr std::size_t TargetsOfShard = 3;

    explicit CapacityFleet(const Terms &terms)
        : m_terms(terms)
        , m_random(terms.seed)
        , m_targets(terms.targets)
    {
        for (Target &target : m_targets) {
            target.pauseEvery = milliseconds(3600 + below(2400));
            target.pauseLength = milliseconds(150 + below(100));
            target.pauseOffset = milliseconds(below(6000));
        }
        for (std::size_t i = 0; i < terms.vms; ++i) {
            m_vms.push_back(std::make_unique<Vm>());
            m_vms[i]->loads.resize(terms.targets, TargetLoad(2));
            const std::size_t vm = i;
            at(m_now + milliseconds(below(200)), [this, vm] { report(vm); });
            scheduleRequest(vm);
        }
        setOwner(0);
    }

    Clock::time_point now() const { return m_now; }

    void run(Clock::duration time)
    {
        const Clock::time_point end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_now = end;
    }

    /// Makes a share of the targets behave badly from now on.
    void startSpell(Spell spell, double share)
    {
        m_spell = spell;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            m_targets[i].isBad = draw() < share;
            m_targets[i].slowness = 8.0 + 4.0 * draw();
        }
        m_firstEvidence.assign(m_targets.size(), {});
        m_knownBy.assign(m_targets.size(), 0);
        m_halfKnownAt.assign(m_targets.size(), {});
        m_isSpell = true;
    }
    void endSpell() { m_isSpell = false; }
    /// Makes one VM the owner of the pool; the others learn of it at once.
    void setOwner(std::size_t owner)
    {
        m_owner = owner;
        for (std::size_t i = 0; i < m_vms.size(); ++i)
            m_vms[i]->pool.setIsOwner(i == owner);
    }
    /// Loses all frames from and to a VM.
    void cutOff(std::size_t vm) { m_vms[vm]->isCutOff = true; }
    /// Loses all responses to a VM, as if the links between it and the targets were cut.
    void cutFromTargets(std::size_t vm) { m_vms[vm]->isDeaf = true; }
    /// Makes a VM report that no target responds and all are slow and lose requests.
    void makeFalse(std::size_t vm) { m_vms[vm]->isFalse = true; }
    void setOwnerDelay(Clock::duration delay) { m_ownerDelay = delay; }

    /// Returns which share of the requests since the last call went to bad targets.
    double takeBadShare()
    {
        const double share =
            m_sent == 0 ? 0.0 : static_cast<double>(m_sentBad) / static_cast<double>(m_sent);
        m_sent = 0;
        m_sentBad = 0;
        return share;
    }
    std::size_t sentBad() const { return m_sentBad; }
    double badShareOfTargets() const
    {
        return static_cast<double>(std::count_if(m_targets.begin(), m_targets.end(),
                                                 [](const auto &each) { return each.isBad; }))
            / static_cast<double>(m_targets.size());
    }
    /// Returns how long after the first evidence half of the VMs knew of each bad target of which
    /// there was evidence, sorted; the greatest duration for those that they never knew of.
    std::vector<Clock::duration> knowledgeTimes() const
    {
        std::vector<Clock::duration> times;
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            if (m_targets[i].isBad && m_firstEvidence[i] != Clock::time_point())
                times.push_back(m_halfKnownAt[i] == Clock::time_point()
                                    ? Clock::duration::max()
                                    : m_halfKnownAt[i] - m_firstEvidence[i]);
        std::sort(times.begin(), times.end());
        return times;
    }
    /// Returns the share of pairs of a VM and a target, among bad or other targets, for which the
    /// VM has an outlook of a kind.
    double shareWithOutlook(bool isBad,
                            const std::function<bool(const TargetOutlook &)> &isKind) const
    {
        std::size_t pairs = 0;
        std::size_t found = 0;
        for (const auto &vm : m_vms)
            for (std::size_t i = 0; i < m_targets.size(); ++i) {
                if (m_targets[i].isBad != isBad || vm->isCutOff || vm->isDeaf)
                    continue;
                ++pairs;
                const auto outlook = vm->recorder.outlook(i + 1, m_now);
                found += outlook && isKind(*outlook) ? 1 : 0;
            }
        return pairs == 0 ? 0.0 : static_cast<double>(found) / static_cast<double>(pairs);
    }
    /// The frames and bytes that a VM sent and received, without those of its own pool.
    struct Traffic
    {
        std::size_t frames = 0;
        std::size_t bytes = 0;
    };
    Traffic traffic(std::size_t vm) const { return m_vms[vm]->traffic; }
    std::size_t owner() const { return m_owner; }

private:
    struct Target
    {
        milliseconds pauseEvery{0};
        milliseconds pauseLength{0};
        milliseconds pauseOffset{0};
        bool isBad = false;
        double slowness = 1.0;
    };
    struct Vm
    {
        std::vector<TargetLoad> loads;
        CapacityRecorder recorder;
        CapacityPool pool;
        bool isCutOff = false;
        bool isDeaf = false;
        bool isFalse = false;
        std::size_t nextFalse = 0;
        Traffic traffic;
    };
    struct Event
    {
        Clock::time_point at;
        std::uint64_t sequence;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    double draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    std::int64_t below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(draw() * static_cast<double>(bound));
    }
    void at(Clock::time_point time, std::function<void()> run)
    {
        m_events.push({time, ++m_sequence, std::move(run)});
    }
    static Clock::duration seconds(double count)
    {
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(count));
    }

    void scheduleRequest(std::size_t vm)
    {
        const double rate = m_terms.rate * static_cast<double>(m_terms.targets);
        at(m_now + seconds(-std::log(1.0 - draw()) / rate), [this, vm] {
            send(vm);
            scheduleRequest(vm);
        });
    }

    void send(std::size_t vm)
    {
        std::vector<TargetLoad> &loads = m_vms[vm]->loads;
        const auto shards = static_cast<std::int64_t>(m_targets.size() / TargetsOfShard);
        const std::size_t first = static_cast<std::size_t>(below(shards)) * TargetsOfShard;
        std::array<const TargetLoad *, TargetsOfShard> candidates{};
        for (std::size_t i = 0; i < TargetsOfShard; ++i)
            candidates[i] = &loads[first + i];
        const std::size_t index = first + *pickTarget(candidates, m_now, draw());
        const Target &target = m_targets[index];
        loads[index].onSent();
        ++m_sent;
        m_sentBad += target.isBad ? 1 : 0;
        const bool isBadNow = m_isSpell && target.isBad;
        // Work differs from request to request.
        double work = std::chrono::duration<double>(Work).count()
            * std::lognormal_distribution<double>(0.0, 0.25)(m_random);
        if (isBadNow && m_spell == Spell::Slow)
            work *= target.slowness;
        Clock::time_point endsAt = m_now + seconds(work);
        const auto sincePause =
            std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch() + target.pauseOffset)
            % target.pauseEvery;
        if (sincePause < target.pauseLength)
            endsAt += target.pauseLength - sincePause;
        const bool isSilent = m_vms[vm]->isDeaf || (isBadNow && m_spell == Spell::Crash);
        const bool isLost = isSilent || (isBadNow && m_spell == Spell::Resets && draw() < 0.4);
        if (isSilent)
            endsAt = m_now + GivenUpAfter;
        const Clock::time_point sentAt = m_now;
        if (endsAt - sentAt > OverdueAfter)
            at(sentAt + OverdueAfter, [this, vm, index, isBadNow] {
                m_vms[vm]->loads[index].onOverdue(OverdueAfter, m_now);
                m_vms[vm]->recorder.onOverdue(index + 1, m_now);
                noteEvidence(index, isBadNow);
            });
        at(endsAt, [this, vm, index, sentAt, isLost, isBadNow] {
            Vm &each = *m_vms[vm];
            if (isLost) {
                each.loads[index].onLost(m_now);
                each.recorder.onLost(index + 1, m_now);
            } else {
                each.loads[index].onAnswered(m_now - sentAt, Work, m_now);
                each.recorder.onAnswered(index + 1, m_now - sentAt, Work, m_now);
            }
            noteEvidence(index, isLost || (isBadNow && m_spell == Spell::Slow));
        });
    }

    void noteEvidence(std::size_t target, bool isEvidence)
    {
        if (isEvidence && m_isSpell && m_targets[target].isBad
            && m_firstEvidence[target] == Clock::time_point())
            m_firstEvidence[target] = m_now;
    }

    void report(std::size_t vm)
    {
        // As often as the entry duty sweeps.
        at(m_now + milliseconds(100), [this, vm] { report(vm); });
        Vm &each = *m_vms[vm];
        auto report = each.recorder.takeReport(m_now);
        if (!m_terms.sharesCapacity)
            return;
        if (each.isFalse) {
            report.emplace();
            for (std::size_t i = 0; i < CapacityRecorder::MaxReported; ++i)
                report->push_back({each.nextFalse++ % m_targets.size() + 1, 200, 3.0, 200, 200});
        }
        if (!report)
            return;
        if (vm == m_owner) {
            each.pool.onReport(0, *report, m_now);
            sendNews();
            return;
        }
        const std::size_t owner = m_owner;
        post(vm, owner, toWire(CapacityObservations{*report}),
             [this, vm, owner](const auto &frame) {
                 m_vms[owner]->pool.onReport(vm + 1, fromWire(frame).targets, m_now);
                 if (owner == m_owner)
                     sendNews();
             });
    }

    void sendNews()
    {
        const std::size_t owner = m_owner;
        const auto news = m_vms[owner]->pool.takeNews(m_now);
        if (news.empty())
            return;
        for (const CapacityPool::Reporter reporter : m_vms[owner]->pool.reporters(m_now)) {
            if (reporter == 0) {
                receive(owner, {news});
                continue;
            }
            const std::size_t vm = reporter - 1;
            post(owner, vm, toWire(CapacityOutlooks{news}),
                 [this, vm](const auto &frame) { receive(vm, fromWire(frame)); });
        }
    }

    void receive(std::size_t vm, const CapacityOutlooks &outlooks)
    {
        for (const TargetOutlook &outlook : outlooks.targets) {
            const std::size_t index = outlook.target - 1;
            m_vms[vm]->recorder.onOutlook(outlook, m_now);
            m_vms[vm]->loads[index].onOutlook(outlook, m_now);
            if (m_isSpell && outlook.isUnusual() && m_firstEvidence[index] != Clock::time_point()
                && m_halfKnownAt[index] == Clock::time_point()
                && ++m_knownBy[index] >= m_vms.size() / 2)
                m_halfKnownAt[index] = m_now;
        }
    }

    /// Sends a frame, which another VM gets later if it is not lost.
    template <typename Body, typename OnReceived>
    void post(std::size_t from, std::size_t to, Body body, OnReceived onReceived)
    {
        const std::size_t size = encodeFrame(*makeFrame(body)).size();
        for (const std::size_t vm : {from, to}) {
            ++m_vms[vm]->traffic.frames;
            m_vms[vm]->traffic.bytes += size;
        }
        if (m_vms[from]->isCutOff || m_vms[to]->isCutOff || draw() < m_terms.frameLoss)
            return;
        Clock::duration delay = seconds(0.0005 + 0.0015 * draw());
        if (to == m_owner)
            delay += m_ownerDelay;
        at(m_now + delay, [onReceived, body] { onReceived(body); });
    }

    Terms m_terms;
    std::mt19937 m_random;
    std::vector<Target> m_targets;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    Clock::time_point m_now = Clock::time_point(std::chrono::hours(1));
    std::size_t m_owner = 0;
    Clock::duration m_ownerDelay{};
    Spell m_spell = Spell::Slow;
    bool m_isSpell = false;
    std::size_t m_sent = 0;
    std::size_t m_sentBad = 0;
    std::vector<Clock::time_point> m_firstEvidence;
    std::vector<std::size_t> m_knownBy;
    std::vector<Clock::time_point> m_halfKnownAt;
};

} // namespace mangoshift
