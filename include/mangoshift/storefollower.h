#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace mangoshift {

/// Reads a page of entries with keys after `afterKey`, in the order of their keys.
struct ReadPage
{
    std::string afterKey;
};
/// Watches for changes after a revision.
struct WatchChanges
{
    std::uint64_t revision;
};
/// Waits for `delay`, then calls `StoreFollower::resume`.
struct WaitBeforeNext
{
    std::chrono::milliseconds delay;
};
using StoreStep = std::variant<ReadPage, WatchChanges, WaitBeforeNext>;

/// Decides the next request to a store that can be listed and watched.
///
/// Lists all entries in pages, then watches from the revision at which the listing began, so that
/// changes during the listing are not missed. Lists again if the store no longer holds that
/// revision, and after each failure. The wait after a failure grows with each consecutive one.
/// Reads no clock. Not thread safe.
class StoreFollower
{
public:
    /// Returns the first step.
    StoreStep start();
    /// Handles one page of a listing. `revision` is the store's revision when it replied, `lastKey`
    /// the last key of the page. Returns the next step.
    StoreStep onPage(std::uint64_t revision, bool isLast, const std::string &lastKey);
    /// Handles the reply to a watch, which covers changes up to `revision`. Returns a short wait
    /// after changes, so that the changes that follow come in one reply.
    StoreStep onChanges(std::uint64_t revision, bool hasChanges);
    /// Handles the reply that the store no longer holds the watched revision. Returns the next
    /// step.
    StoreStep onHistoryLost();
    /// Handles a request that failed or was refused. Returns the wait before the next request.
    StoreStep onFailure();
    /// Returns the request to send after a wait, or after another source has been used.
    StoreStep resume() const;
    /// Records that another source has supplied the state up to `revision`. The next request to the
    /// store starts a new listing, as the store may no longer hold the changes since then.
    void skipTo(std::uint64_t revision);

    /// Returns whether the store has recovered from a failure since the last call.
    bool takeRecovered();
    /// Returns whether a listing is in progress.
    bool isListing() const { return m_isListing; }
    /// Returns whether the last request failed.
    bool isStoreUnavailable() const { return m_consecutiveFailures > 0; }
    /// Returns the revision up to which all changes have been received. During a listing it stays
    /// that of before.
    std::uint64_t revision() const { return m_revision; }
    /// Returns the revision at which the latest listing began.
    std::uint64_t listingRevision() const { return m_listingRevision; }

private:
    StoreStep next() const;
    void recordSuccess();

    bool m_isListing = true;
    std::string m_afterKey;
    std::uint64_t m_revision = 0;
    std::uint64_t m_listingRevision = 0;
    std::uint32_t m_consecutiveFailures = 0;
    bool m_hasRecovered = false;
};

} // namespace mangoshift
