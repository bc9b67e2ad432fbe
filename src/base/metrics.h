#pragma once

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace mangoshift {

/// The process's metrics, by their Prometheus names. May be used from any thread.
class Metrics
{
public:
    Metrics();

    /// Returns the page that a Prometheus server reads.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;

public:
    /// Requests by `service` and `outcome` (`complete`, `partial`, `refused`, `error`).
    prometheus::Family<prometheus::Counter> &requests;
    /// Requests that were not run, by `reason`: the limit or the fault that refused them.
    prometheus::Family<prometheus::Counter> &refusals;
    /// From receipt to answer, by `service`, in seconds.
    prometheus::Family<prometheus::Histogram> &requestSeconds;
    /// Shards asked and missing, by `service`.
    prometheus::Family<prometheus::Counter> &shardsRequested;
    prometheus::Family<prometheus::Counter> &shardsMissing;
    /// Requests to targets or homes beyond the first for each shard, by `service`.
    prometheus::Family<prometheus::Counter> &extraRequests;
    /// Requests that this VM, as a home, sent to targets, by `kind` (`first`, `hedge`, `retry`,
    /// `probe`).
    prometheus::Family<prometheus::Counter> &targetCalls;
    /// The version of the configuration in force.
    prometheus::Gauge &configVersion;
    /// VMs held to be alive, this one among them.
    prometheus::Gauge &membersAlive;
    /// Documents that were refused, by this VM, because they did not validate.
    prometheus::Counter &documentsRejected;
    /// Reads of the platform's configuration service, a waiting watch counted as one.
    prometheus::Counter &platformReads;
    /// Bytes of heartbeats, of frames of membership and configuration, and of the platform's
    /// answers, by `direction` (`in`, `out`) and `channel` (`heartbeat`, `peer`, `platform`).
    prometheus::Family<prometheus::Counter> &controlBytes;
    /// Heartbeats by `direction`.
    prometheus::Family<prometheus::Counter> &heartbeats;
    /// Documents in force that were edited from a version which had been replaced by then.
    prometheus::Counter &documentsFromStaleBase;
    /// Requests that an entry VM has answered, by `route`, `outcome` and `reason`.
    prometheus::Family<prometheus::Counter> &entryRequests;
    /// From receipt to answer at an entry VM, by `route`, in seconds.
    prometheus::Family<prometheus::Histogram> &entrySeconds;
    /// Requests that an entry VM gave to targets, by `cause` (`first`, `hedge`, `retry`), and extra
    /// ones that it did not send for want of budget, as `denied`.
    prometheus::Family<prometheus::Counter> &entrySends;
    /// One while this VM is ready, else zero.
    prometheus::Gauge &ready;
    /// Requests of callers at this entry VM that are not answered yet.
    prometheus::Gauge &requestsInFlight;
    /// How old what this VM knows of the store is, in seconds.
    prometheus::Gauge &stateAge;
    /// Log lines that were left out since the start, for want of room.
    prometheus::Gauge &droppedLogLines;
    /// Reads of the store, by `outcome` (`ok`, `refused`, `failed`, `history_gone`).
    prometheus::Family<prometheus::Counter> &storeReads;
    /// Questions to other VMs for the state of the store, by `outcome` (`ok`, `failed`).
    prometheus::Family<prometheus::Counter> &peerReads;
    /// From asking the store to its answer, watches included, in seconds.
    prometheus::Histogram &storeReadSeconds;
};

/// Returns the bounds of all histograms of latencies, in seconds.
prometheus::Histogram::BucketBoundaries latencyBuckets();

} // namespace mangoshift
