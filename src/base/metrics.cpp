#include "base/metrics.h"

#include <prometheus/text_serializer.h>

namespace mangoshift {

namespace {

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry,
                                                  const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &gauges(prometheus::Registry &registry,
                                              const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , requests(counters(*m_registry, "mangoshift_requests_total", "Requests of callers"))
    , refusals(counters(*m_registry, "mangoshift_refusals_total",
                        "Requests that were not run, by the limit or fault that refused them"))
    , requestSeconds(prometheus::BuildHistogram()
                         .Name("mangoshift_request_duration_seconds")
                         .Help("Time from receipt to answer")
                         .Register(*m_registry))
    , shardsRequested(counters(*m_registry, "mangoshift_shards_asked_total", "Shards of queries"))
    , shardsMissing(
          counters(*m_registry, "mangoshift_shards_missing_total", "Shards missing from answers"))
    , extraRequests(counters(*m_registry, "mangoshift_extra_requests_total",
                             "Shard requests beyond the first of each shard"))
    , targetCalls(counters(*m_registry, "mangoshift_target_calls_total",
                           "Requests sent to targets by this VM as a home"))
    , configVersion(
          gauges(*m_registry, "mangoshift_config_version", "Version of the configuration in force")
              .Add({}))
    , membersAlive(gauges(*m_registry, "mangoshift_members_alive", "VMs held to be alive").Add({}))
    , documentsRejected(counters(*m_registry, "mangoshift_documents_rejected_total",
                                 "Documents that did not validate")
                            .Add({}))
    , platformReads(
          counters(*m_registry, "mangoshift_platform_reads_total", "Reads of the platform").Add({}))
    , platformAnswersRejected(counters(*m_registry, "mangoshift_platform_answers_rejected_total",
                                       "Responses of the platform that were rejected"))
    , controlBytes(counters(*m_registry, "mangoshift_control_bytes_total",
                            "Bytes of membership and configuration"))
    , heartbeats(counters(*m_registry, "mangoshift_heartbeats_total", "Heartbeats"))
    , documentsFromStaleBase(counters(*m_registry, "mangoshift_documents_raced_total",
                                      "Documents edited from a version that had been replaced")
                                 .Add({}))
    , entryRequests(counters(*m_registry, "mangoshift_entry_requests_total", "Requests answered"))
    , entrySeconds(prometheus::BuildHistogram()
                       .Name("mangoshift_entry_request_duration_seconds")
                       .Help("Time from receipt to answer")
                       .Register(*m_registry))
    , replyLead(gauges(*m_registry, "mangoshift_reply_lead_seconds",
                       "Time kept for ending an answer of a route"))
    , callerConnectionsEnded(counters(*m_registry, "mangoshift_caller_connections_ended_total",
                                      "Ended connections of callers, by cause and phase"))
    , entrySends(counters(*m_registry, "mangoshift_entry_sends_total",
                          "Requests given to targets, and extra ones denied"))
    , entryWaitSeconds(prometheus::BuildHistogram()
                           .Name("mangoshift_entry_wait_duration_seconds")
                           .Help("Time that calls waited inside this VM for a target")
                           .Register(*m_registry))
    , targetNotices(counters(*m_registry, "mangoshift_target_notices_total",
                             "Targets that said they leave, asked for a pause, or named a limit"))
    , targetLimit(gauges(*m_registry, "mangoshift_target_limit",
                         "Requests a second that a target takes from all VMs"))
    , targetLimitUse(gauges(*m_registry, "mangoshift_target_limit_use",
                            "Requests a second that this VM sends to a limited target"))
    , targetLimitUnused(
          gauges(*m_registry, "mangoshift_target_limit_unused_seconds",
                 "Time in which a limited target got nothing of the requests it could have taken"))
    , permitAsks(counters(*m_registry, "mangoshift_permit_asks_total",
                          "Requests for permits to send to limited targets"))
    , capacityReports(counters(*m_registry, "mangoshift_capacity_reports_total",
                               "Reports about targets between the VMs of a failure domain"))
    , targetsUnresponsive(gauges(*m_registry, "mangoshift_targets_unresponsive",
                                 "Targets that the VMs of this failure domain say do not respond")
                              .Add({}))
    , coldTargets(gauges(*m_registry, "mangoshift_cold_targets",
                         "Targets that get requests at the rate for cold targets only")
                      .Add({}))
    , domainSilent(gauges(*m_registry, "mangoshift_domain_silent",
                          "One while the targets of a failure domain have stopped responding"))
    , targetsSlow(gauges(*m_registry, "mangoshift_targets_slow",
                         "Targets that are slower than usual, or handle less than before")
                      .Add({}))
    , domainEvacuated(gauges(*m_registry, "mangoshift_domain_evacuated",
                             "One while nothing is sent to the targets of a failure domain"))
    , ready(gauges(*m_registry, "mangoshift_ready", "One while this VM is ready").Add({}))
    , requestsInFlight(gauges(*m_registry, "mangoshift_entry_requests_under_way",
                              "Requests that are not answered yet")
                           .Add({}))
    , stateAge(
          gauges(*m_registry, "mangoshift_state_age_seconds", "Age of what is known of the store")
              .Add({}))
    , droppedLogLines(
          gauges(*m_registry, "mangoshift_log_lines_left_out", "Log lines left out since the start")
              .Add({}))
    , droppedLogLinesByEvent(counters(*m_registry, "mangoshift_log_lines_left_out_total",
                                      "Log lines left out, by event"))
    , storeReads(counters(*m_registry, "mangoshift_store_reads_total", "Reads of the store"))
    , peerReads(counters(*m_registry, "mangoshift_peer_reads_total",
                         "Questions to other VMs for the state of the store"))
    , storeReadSeconds(prometheus::BuildHistogram()
                           .Name("mangoshift_store_read_duration_seconds")
                           .Help("Time from asking the store to its answer")
                           .Register(*m_registry)
                           .Add({}, latencyBuckets()))
{
}

prometheus::Histogram::BucketBoundaries latencyBuckets()
{
    return {0.002, 0.005, 0.01, 0.02, 0.04, 0.06, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.5, 5.0, 10.0};
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace mangoshift
