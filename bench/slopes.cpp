// Measures how the cost of each component of a VM grows with its load. Prints one line
// `slope,x,value` for each point; docs/capacity.py fits lines through the points and writes the
// tables of docs/CAPACITY.md.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <malloc.h>

#include "config/documentjson.h"
#include "mangoshift/placement.h"
#include "mangoshift/querymachine.h"
#include "mangoshift/slotscheduler.h"
#include "wire/framecodec.h"

namespace {

using namespace mangoshift;
using Nanoseconds = std::chrono::duration<double, std::nano>;

constexpr int Repeats = 7;
constexpr std::size_t FailureDomains = 7;
constexpr std::chrono::milliseconds RoundDuration{40};
/// Requests that fill the slots of 180 shards, which have four slots each.
constexpr std::size_t SlotFillingRequests = 720;

/// Returns the mean time of a call of `work` in the fastest of several rounds.
Nanoseconds measureBestTime(const std::function<void()> &work)
{
    work();
    Nanoseconds best = Nanoseconds::max();
    for (int repeat = 0; repeat < Repeats; ++repeat) {
        std::size_t calls = 0;
        const auto begin = std::chrono::steady_clock::now();
        auto end = begin;
        while (end - begin < RoundDuration) {
            work();
            ++calls;
            end = std::chrono::steady_clock::now();
        }
        best = std::min(best, Nanoseconds(end - begin) / static_cast<double>(calls));
    }
    return best;
}

void print(const char *slope, std::size_t x, double value)
{
    std::printf("%s,%zu,%.1f\n", slope, x, value);
    std::fflush(stdout);
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

std::string domainName(std::size_t index)
{
    return "domain-" + std::to_string(index % FailureDomains);
}

/// Returns the JSON of a document with `targets` targets and one service with two targets per
/// shard.
std::string makeDocumentJson(std::size_t targets)
{
    std::string text = R"({"base_version":0,"request_kinds":[{"name":"k","priority":0,)"
                       R"("idempotent":true}],"targets":[)";
    for (std::size_t i = 0; i < targets; ++i) {
        text += i == 0 ? "" : ",";
        text += R"({"name":"target-)" + std::to_string(i) + R"(","address":"10.)"
            + std::to_string(i / 250) + ".1." + std::to_string(1 + i % 250)
            + R"(:9100","failure_domain":")" + domainName(i) + R"(","slots":2,"connections":25})";
    }
    text += R"(],"services":[{"name":"s","kind":"k","deadline_ms":100,"shards":[)";
    for (std::size_t i = 0; i + 1 < targets; i += 2) {
        text += i == 0 ? "" : ",";
        text += R"({"name":"shard-)" + std::to_string(i / 2) + R"(","replicas":["target-)"
            + std::to_string(i) + R"(","target-)" + std::to_string(i + 1) + R"("]})";
    }
    return text + "]}]}";
}

DocumentPtr makeDocument(std::size_t targets)
{
    return std::make_shared<const IndexedDocument>(*parseDocument(makeDocumentJson(targets), 1));
}

MemberView makeView(std::size_t members)
{
    MemberView view{1, {}};
    for (std::size_t i = 0; i < members; ++i)
        view.members.push_back(
            {"vm-" + std::to_string(i), domainName(i), "region", "10.0.0.1:7102", i + 1, false});
    return view;
}

std::string sampleRows()
{
    return R"([{"shard":"shard-000","snapshot":41,"target":"target-000","request":"vm-1-2"}])";
}

void completeBatch(QueryMachine &machine, const SendBatch &batch, Clock::time_point now)
{
    for (const ShardKey &key : batch.shards) {
        ShardOutcome outcome;
        outcome.shard = key;
        outcome.verdict = {Execution::Ran, Reason::Ok};
        outcome.snapshot = 41;
        outcome.held = {41, 41};
        outcome.rows = sampleRows();
        machine.onOutcome(batch.exchange, std::move(outcome), now);
    }
}

/// Measures one query from its start to its last reply, where every shard of each batch succeeds.
void measureQueryMachine()
{
    const DocumentPtr document = makeDocument(720);
    const MemberView view = makeView(77);
    const auto now = Clock::time_point(std::chrono::seconds(99));
    for (const std::size_t shards : {30U, 90U, 180U, 270U, 360U}) {
        Service service = document->document().services[0];
        service.shards.resize(shards);
        QueryPlan plan;
        plan.service = makeServicePlan(service, document->document(), view, view.members[0],
                                       PlacementPolicy(RendezvousHomes{}));
        plan.snapshot = 41;
        plan.deadline = Clock::time_point(std::chrono::seconds(100));
        RootState root;
        print("query_machine_ns", shards,
              measureBestTime([&] {
                  QueryMachine machine(plan, root);
                  for (const QueryAction &action : machine.start(now))
                      if (const auto *batch = std::get_if<SendBatch>(&action))
                          completeBatch(machine, *batch, now);
              }).count());
    }
}

void measureFrames()
{
    for (const std::size_t shards : {1U, 2U, 5U, 10U, 20U, 40U}) {
        wire::ShardBatchT batch;
        batch.service = "pattern-search";
        batch.failure_domain = "plovdiv-a";
        batch.request_id = "plovdiv-a-vm0-123456789-1000";
        batch.body = R"({"text":"a short query of a caller","page":1,"size":20})";
        wire::ShardRepliesT replies;
        for (std::size_t i = 0; i < shards; ++i) {
            batch.shards.push_back(i);
            replies.replies.push_back(std::make_unique<wire::ShardReplyT>());
            replies.replies.back()->rows = sampleRows();
        }
        const FramePtr batchFrame = makeFrame(std::move(batch));
        const FramePtr repliesFrame = makeFrame(std::move(replies));
        const auto roundTrip = [](const FramePtr &frame) {
            const std::string bytes = encodeFrame(*frame);
            const std::vector<std::uint8_t> body(bytes.begin() + FrameHeaderBytes, bytes.end());
            return decodeFrame(body.data(), body.size()).has_value();
        };
        print("batch_codec_ns", shards, measureBestTime([&] { roundTrip(batchFrame); }).count());
        print("replies_codec_ns", shards,
              measureBestTime([&] { roundTrip(repliesFrame); }).count());
        print("batch_bytes", shards, static_cast<double>(encodeFrame(*batchFrame).size()));
        print("replies_bytes", shards, static_cast<double>(encodeFrame(*repliesFrame).size()));
    }
}

/// Measures one request until its call has ended, while `waiting` requests wait for slots of other
/// shards.
void measureScheduler()
{
    for (const std::size_t waiting : {0U, 100U, 300U, 1000U, 3000U}) {
        const DocumentPtr document = makeDocument(720);
        const auto &shards = document->document().services[0].shards;
        const auto now = Clock::time_point(std::chrono::seconds(99));
        SlotScheduler scheduler;
        scheduler.applyDocument(document, now);
        ShardRequest request;
        request.deadline = now + std::chrono::hours(1);
        request.body = std::make_shared<RequestBody>();
        // The first four requests of each shard fill its slots. The others wait, spread over 180 of
        // the 360 shards.
        for (std::size_t i = 0; i < waiting + SlotFillingRequests; ++i) {
            request.shard = shards[180 + i % 180].key;
            ++request.id;
            scheduler.onRequest(request, now);
        }
        request.shard = shards[0].key;
        print("slot_scheduler_ns", waiting,
              measureBestTime([&] {
                  ++request.id;
                  for (const SchedulerAction &action : scheduler.onRequest(request, now))
                      if (const auto *sent = std::get_if<SendToTarget>(&action))
                          scheduler.onCallEnded(
                              sent->call, {{Execution::Ran, Reason::Ok}, 41, {41, 41}, "[]"}, now);
              }).count());
    }
}

void measurePlacement()
{
    const DocumentPtr document = makeDocument(720);
    const Shard &shard = document->document().services[0].shards[0];
    for (const std::size_t members : {7U, 60U, 180U, 360U, 540U}) {
        const MemberView view = makeView(members);
        print("homes_of_shard_ns", members, measureBestTime([&] {
                                                homesOf(shard, document->document(), view,
                                                        view.members[0],
                                                        PlacementPolicy(RendezvousHomes{}));
                                            }).count());
    }
}

void measureDocument()
{
    for (const std::size_t targets : {115U, 700U, 1400U, 2100U, 2800U}) {
        const std::string text = makeDocumentJson(targets);
        print("document_bytes", targets, static_cast<double>(text.size()));
        print("document_parse_ns", targets,
              measureBestTime([&] { makeDocument(targets); }).count());
        const std::size_t before = heapBytes();
        const DocumentPtr document = makeDocument(targets);
        print("document_heap_bytes", targets, static_cast<double>(heapBytes() - before));
    }
    for (const std::size_t members : {7U, 60U, 180U, 360U, 540U}) {
        const std::size_t before = heapBytes();
        const MemberView view = makeView(members);
        print("member_view_heap_bytes", members, static_cast<double>(heapBytes() - before));
    }
}

} // namespace

int main()
{
    std::puts("slope,x,value");
    measureQueryMachine();
    measureFrames();
    measureScheduler();
    measurePlacement();
    measureDocument();
    return 0;
}
