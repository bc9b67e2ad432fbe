// Measures the time to build a service plan and the time to drive a QueryMachine through one query
// with that plan, at the design size: 540 VMs in 7 failure domains, 360 shards of 2 replicas.

#include <chrono>
#include <cstdio>

#include "mangoshift/querymachine.h"

namespace {

using namespace mangoshift;

constexpr std::size_t Vms = 540;
constexpr std::size_t Domains = 7;
constexpr std::size_t Shards = 360;
constexpr int PlanRuns = 20;
constexpr int QueryRuns = 2000;

std::string domainName(std::size_t index)
{
    return "domain" + std::to_string(index % Domains);
}

DocumentPtr makeDocument()
{
    Document document;
    Service service;
    service.name = "search";
    for (std::size_t i = 0; i < Shards; ++i) {
        const std::string name = "shard" + std::to_string(i);
        for (const std::size_t replica : {2 * i, 2 * i + 1})
            document.targets.push_back(
                {std::to_string(replica), "127.0.0.1:1", domainName(replica), 2, 25});
        service.shards.push_back({name, shardKey("search", name), {2 * i, 2 * i + 1}});
    }
    document.services = {service};
    return std::make_shared<IndexedDocument>(std::move(document));
}

MemberViewPtr makeView()
{
    auto view = std::make_shared<MemberView>();
    for (std::size_t i = 0; i < Vms; ++i)
        view->members.push_back(
            {"vm" + std::to_string(i), domainName(i), i % 2 == 0 ? "r0" : "r1", "", 1, false});
    return view;
}

/// Calls `work` `runs` times. Returns the mean time of a call in microseconds.
template <typename Work>
double meanUs(int runs, Work work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < runs; ++i)
        work();
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / runs;
}

/// Drives one query in which every shard replies. Returns whether the query finished.
bool runQuery(const ServicePlanPtr &plan, RootState &root)
{
    const Clock::time_point now{std::chrono::seconds(1)};
    QueryMachine machine({plan, now + std::chrono::milliseconds(100), root.snapshots().choose(plan),
                          true, std::chrono::milliseconds(20)},
                         root);
    for (QueryAction &action : machine.start(now)) {
        const auto *batch = std::get_if<SendBatch>(&action);
        if (batch == nullptr)
            continue;
        for (const ShardKey shard : batch->shards) {
            root.snapshots().onSnapshotRange(shard, batch->failureDomain, {1, 2}, now);
            machine.onOutcome(batch->exchange,
                              {shard, {Execution::Ran, Reason::Ok}, 2, {1, 2}, "[]", 0}, now);
        }
    }
    return machine.isFinished();
}

} // namespace

int main()
{
    const DocumentPtr document = makeDocument();
    const MemberViewPtr view = makeView();
    const Service &service = document->document().services[0];
    ServicePlanPtr plan;
    std::printf("build a service plan: %.0f us\n", meanUs(PlanRuns, [&] {
                    plan = makeServicePlan(service, document->document(), *view, view->members[0],
                                           RendezvousHomes{});
                }));
    RootState root;
    bool areAllFinished = true;
    std::printf("drive a query: %.0f us\n", meanUs(QueryRuns, [&] {
                    areAllFinished = runQuery(plan, root) && areAllFinished;
                }));
    return areAllFinished ? 0 : 1;
}
