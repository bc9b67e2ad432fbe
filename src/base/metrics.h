#pragma once

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace mangoshift {

/// The Prometheus metrics of the process. May be used from any thread.
class Metrics
{
public:
    Metrics();

    /// Returns all metrics in the Prometheus text exposition format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;

public:
    /// Requests by `service` and `outcome` (`complete`, `partial`, `refused`, `error`).
    prometheus::Family<prometheus::Counter> &requests;
    /// Requests that were not executed, by `reason`: the limit or the fault that caused the
    /// refusal.
    prometheus::Family<prometheus::Counter> &refusals;
    /// Time from receiving a request to answering it, by `service`, in seconds.
    prometheus::Family<prometheus::Histogram> &requestSeconds;
    /// Shards requested by queries and shards missing from their answers, by `service`.
    prometheus::Family<prometheus::Counter> &shardsRequested;
    prometheus::Family<prometheus::Counter> &shardsMissing;
    /// Requests to targets or home VMs beyond the first one for each shard, by `service`.
    prometheus::Family<prometheus::Counter> &extraRequests;
    /// Requests that this VM, as a home VM, sent to targets, by `kind` (`first`, `hedge`, `retry`,
    /// `probe`).
    prometheus::Family<prometheus::Counter> &targetCalls;
    /// The version of the configuration in force.
    prometheus::Gauge &configVersion;
    /// VMs considered alive, including this one.
    prometheus::Gauge &membersAlive;
    /// Documents that this VM rejected because they did not validate.
    prometheus::Counter &documentsRejected;
    /// Reads of the platform's configuration service; a long-polling watch counts as one read.
    prometheus::Counter &platformReads;
    /// Responses of the platform that were rejected, by `why` (`too_slow`, `malformed`,
    /// `headers_too_large`, `body_too_large`).
    prometheus::Family<prometheus::Counter> &platformAnswersRejected;
    /// Bytes of heartbeats, of membership and configuration frames, and of the platform's
    /// responses, by `direction` (`in`, `out`) and `channel` (`heartbeat`, `peer`, `platform`).
    prometheus::Family<prometheus::Counter> &controlBytes;
    /// Heartbeats by `direction`.
    prometheus::Family<prometheus::Counter> &heartbeats;
    /// Documents that came into force although they were edited from a version that had already
    /// been replaced.
    prometheus::Counter &documentsFromStaleBase;
    /// Requests that this entry VM answered, by `route`, `outcome` and `reason`.
    prometheus::Family<prometheus::Counter> &entryRequests;
    /// Time from receiving a request to answering it at this entry VM, by `route`, in seconds.
    prometheus::Family<prometheus::Histogram> &entrySeconds;
    /// How long before an answer of a `route` has to leave this VM ends the wait for its parts, as
    /// measured; in seconds. See `ReplyLead`.
    prometheus::Family<prometheus::Gauge> &replyLead;
    /// Connections of callers that have ended, by `cause` and `phase`; see `ConnectionEnd`.
    prometheus::Family<prometheus::Counter> &callerConnectionsEnded;
    /// Requests that this entry VM sent to targets, by `cause` (`first`, `hedge`, `retry`);
    /// `denied` counts extra requests that were not sent because the budget was exhausted.
    prometheus::Family<prometheus::Counter> &entrySends;
    /// How long calls waited inside this VM for a target, in seconds, by `end`: `sent`, `dropped`
    /// (the request has ended without it), or why it was refused.
    prometheus::Family<prometheus::Histogram> &entryWaitSeconds;
    /// What targets have said about themselves, by `kind` (`leaving`, `pause`, `limit`), once a
    /// target and pause or change of its limit.
    prometheus::Family<prometheus::Counter> &targetNotices;
    /// The limits that targets name, and how much of them this VM uses, in requests a second by
    /// `target`; only while there is a limit.
    prometheus::Family<prometheus::Gauge> &targetLimit;
    prometheus::Family<prometheus::Gauge> &targetLimitUse;
    /// For how many seconds this VM has sent a limited target nothing while other targets got
    /// requests that it could have taken, by `target`; only while there is a limit.
    prometheus::Family<prometheus::Gauge> &targetLimitUnused;
    /// Requests for permits to send to limited targets, by `outcome` (`granted`, `denied`).
    prometheus::Family<prometheus::Counter> &permitAsks;
    /// Reports about targets between the VMs of a failure domain, by `outcome`: `sent`, `asked`
    /// (sent without observations), `merged` (received as the pool owner), `ignored`.
    prometheus::Family<prometheus::Counter> &capacityReports;
    /// Targets that the failure domain's VMs say do not respond.
    prometheus::Gauge &targetsUnresponsive;
    /// The targets that are cold and whose services state a rate for that.
    prometheus::Gauge &coldTargets;
    /// By `failure_domain`: 1 while its targets do not respond, 0 after that.
    prometheus::Family<prometheus::Gauge> &domainSilent;
    /// How many targets are known to be slower than usual, or to handle less than before.
    prometheus::Gauge &targetsSlow;
    /// By `failure_domain`: 1 while nothing is sent to its targets, 0 after that.
    prometheus::Family<prometheus::Gauge> &domainEvacuated;
    /// 1 while this VM is ready, otherwise 0.
    prometheus::Gauge &ready;
    /// Callers' requests at this entry VM that are not answered yet.
    prometheus::Gauge &requestsInFlight;
    /// The age of this VM's copy of the store's state, in seconds.
    prometheus::Gauge &stateAge;
    /// Log lines dropped since the start.
    prometheus::Gauge &droppedLogLines;
    /// The same by `event`.
    prometheus::Family<prometheus::Counter> &droppedLogLinesByEvent;
    /// Reads of the store, by `outcome` (`ok`, `refused`, `failed`, `history_gone`).
    prometheus::Family<prometheus::Counter> &storeReads;
    /// Requests to other VMs for the state of the store, by `outcome` (`ok`, `failed`).
    prometheus::Family<prometheus::Counter> &peerReads;
    /// Time from sending a request to the store to its response, including watches, in seconds.
    prometheus::Histogram &storeReadSeconds;
};

/// Returns the bucket boundaries of all latency histograms, in seconds.
prometheus::Histogram::BucketBoundaries latencyBuckets();

} // namespace mangoshift
