#include "soak/run.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include "soak/cluster.h"
#include "soak/loadgenerator.h"
#include "soak/plan.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;

/// How long callers send requests after the time that the recovery may take.
constexpr std::chrono::seconds LoadAfterRecovery{4};
/// How often processes are checked between the steps of the plan.
constexpr milliseconds WatchInterval{20};
/// How long the run waits at its end for pending responses, beyond the longest route timeout.
constexpr std::chrono::seconds FinalResponseTimeout{2};

std::int64_t toMicroseconds(Clock::time_point at)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
}

/// Writes one line for each request of the callers. Times are in microseconds, on the clock that
/// the targets use too.
void writeCallerRecords(const std::vector<CallerRecord> &records, const std::string &path)
{
    std::ofstream file(path);
    for (const CallerRecord &record : records)
        file << record.id << " vm=" << record.vm << " sent=" << toMicroseconds(record.sentAt)
             << " ended=" << toMicroseconds(record.endedAt)
             << " connected=" << toMicroseconds(record.connectedAt)
             << " end=" << static_cast<int>(record.outcome) << " status=" << record.status << "\n";
}

/// Executes a plan on the cluster, and records the start and the end of each fault.
class PlanRunner
{
public:
    PlanRunner(Cluster &cluster, LoadGenerator &load, const Plan &plan)
        : m_cluster(cluster)
        , m_load(load)
        , m_plan(plan)
        , m_startTimes(plan.faults.size())
        , m_endTimes(plan.faults.size())
    {
    }

    /// Performs the steps at their times after `start`.
    void execute(Clock::time_point start)
    {
        for (const Step &step : m_plan.steps) {
            watchProcessesUntil(start + step.at);
            const Clock::time_point before = Clock::now();
            m_cluster.perform(step.action);
            m_load.setLoadFactor(m_cluster.loadFactor());
            if (m_startTimes[step.fault] == Clock::time_point{})
                m_startTimes[step.fault] = before;
            m_endTimes[step.fault] = Clock::now();
        }
    }

    /// Waits until `end`, and restarts VMs that end unexpectedly.
    void watchProcessesUntil(Clock::time_point end)
    {
        while (Clock::now() < end) {
            m_cluster.restartEndedVms();
            std::this_thread::sleep_for(
                std::min<Clock::duration>(WatchInterval, end - Clock::now()));
        }
    }

    /// Writes one line for each fault: its start and end in microseconds, on the clock that the
    /// targets use too, its description and the indices of the VMs or groups that it disturbed.
    void writeFaults(const std::string &path) const
    {
        std::ofstream file(path);
        for (std::size_t i = 0; i < m_plan.faults.size(); ++i) {
            file << toMicroseconds(m_startTimes[i]) << " " << toMicroseconds(m_endTimes[i]) << " "
                 << m_plan.faults[i].description;
            for (const Disturbance &each : m_plan.faults[i].disturbances)
                file << " " << each.index;
            file << "\n";
        }
    }

    void collectDisturbances(Evidence &evidence) const
    {
        for (std::size_t i = 0; i < m_plan.faults.size(); ++i)
            for (Disturbance disturbance : m_plan.faults[i].disturbances) {
                disturbance.description = m_plan.faults[i].description;
                disturbance.from = m_startTimes[i];
                disturbance.to = m_endTimes[i];
                evidence.disturbances.push_back(std::move(disturbance));
            }
    }

private:
    Cluster &m_cluster;
    LoadGenerator &m_load;
    const Plan &m_plan;
    std::vector<Clock::time_point> m_startTimes;
    std::vector<Clock::time_point> m_endTimes;
};

RunResult summarize(const Evidence &evidence, const Plan &plan, Strictness strictness)
{
    RunResult result;
    result.violations = findViolations(evidence, strictness);
    for (const PlannedFault &fault : plan.faults)
        result.faults.push_back(fault.description);
    result.vmCpuSeconds = std::chrono::duration<double>(evidence.vmProcessorTime).count();
    result.vmPeakKb = evidence.vmPeakKb;
    result.requests = evidence.callers.size();
    for (const CallerRecord &record : evidence.callers) {
        const bool hasResponse = record.outcome == CallerRecord::Outcome::Responded;
        if (hasResponse && record.status == 200) {
            ++result.served;
            result.partial += record.route == RouteKind::All && record.missingParts != "0" ? 1 : 0;
        } else if (hasResponse && record.status == 503) {
            ++result.refused;
        } else if (record.outcome != CallerRecord::Outcome::CallerDisconnected) {
            ++result.failed;
        }
    }
    return result;
}

} // namespace

RunResult runSoak(const RunOptions &options)
{
    const Plan plan = makePlan(options.seed, options.shape, options.faultTime, options.isFaultFree);
    Cluster cluster(options.shape, options.network, options.folder);
    cluster.start();
    std::vector<LoadGenerator::VmAddresses> vms;
    vms.reserve(static_cast<std::size_t>(options.shape.vms));
    for (int vm = 0; vm < options.shape.vms; ++vm)
        vms.push_back({cluster.callerAddress(vm), cluster.readyAddress(vm)});
    asio::io_context io(1);
    LoadGenerator load(io, options.shape, std::move(vms), options.seed);
    load.start();
    const auto guard = asio::make_work_guard(io);
    std::thread callers([&io] { io.run(); });

    PlanRunner runner(cluster, load, plan);
    const Clock::time_point start = Clock::now();
    Evidence evidence;
    try {
        runner.execute(start);
        runner.watchProcessesUntil(start + options.faultTime);
        evidence.lastFault = Clock::now();
        const Clock::duration recovery =
            options.isFaultFree ? Clock::duration(0) : Clock::duration(Bounds{}.recovery);
        runner.watchProcessesUntil(evidence.lastFault + recovery + LoadAfterRecovery);
        asio::post(io, [&load] { load.stopSending(); });
        // Requests in flight end by a response or by their timeout.
        runner.watchProcessesUntil(Clock::now() + options.shape.pooledTimeout
                                   + FinalResponseTimeout);
    } catch (...) {
        io.stop();
        callers.join();
        throw;
    }
    io.stop();
    callers.join();
    cluster.collectUsage(evidence);
    cluster.stopVms();
    evidence.end = Clock::now();
    cluster.collectEvidence(evidence);
    runner.collectDisturbances(evidence);
    runner.writeFaults(options.folder + "/faults");
    evidence.callers = load.records();
    writeCallerRecords(evidence.callers, options.folder + "/callers");
    if (options.isFaultFree)
        evidence.lastFault = start - evidence.bounds.recovery;
    return summarize(evidence, plan, options.strictness);
}

} // namespace mangoshift::soak
