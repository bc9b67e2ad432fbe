#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace mangoshift {

/// Reads the entries behind `afterKey` in the order of their keys.
struct ReadPage
{
    std::string afterKey;
};
/// Waits for changes after a revision.
struct WatchChanges
{
    std::uint64_t revision;
};
/// Asks nothing for a while, then calls `StoreFollower::resume`.
struct WaitBeforeNext
{
    std::chrono::milliseconds delay;
};
using StoreStep = std::variant<ReadPage, WatchChanges, WaitBeforeNext>;

/// Decides what is asked next of a store that can be listed and watched.
///
/// Lists all entries in pages, then watches from the revision at which the listing began, so that
/// what changed meanwhile is seen. Begins anew where the store has forgotten that revision, and
/// after each failure, before which it waits, longer with each on end. Reads no clock. Not thread
/// safe.
class StoreFollower
{
public:
    StoreStep start();
    /// Takes in one page. `revision` is the store's at that moment, `lastKey` the key to go on from
    /// where the page is not the last.
    StoreStep onPage(std::uint64_t revision, bool isLast, const std::string &lastKey);
    /// Takes in an answer to a watch, with the revision that it goes up to and whether it brought
    /// changes. After changes it waits a moment, so that those which follow come in one answer.
    StoreStep onChanges(std::uint64_t revision, bool hasChanges);
    /// Takes in that the store does not hold the watched revision any more.
    StoreStep onHistoryLost();
    /// Takes in that a request failed or was refused.
    StoreStep onFailure();
    StoreStep resume() const;
    /// Takes in that the state was learnt elsewhere up to a revision. The store is listed anew when
    /// it is next asked: whether it still holds the changes since is not known.
    void skipTo(std::uint64_t revision);

    /// Returns true once, after an answer that followed a failure.
    bool takeRecovered();
    /// Returns true while a listing is under way.
    bool isListing() const { return m_isListing; }
    bool isStoreUnavailable() const { return m_failures > 0; }
    std::uint64_t revision() const { return m_revision; }

private:
    StoreStep next() const;
    void onAnswer();

    bool m_isListing = true;
    std::string m_afterKey;
    std::uint64_t m_revision = 0;
    std::uint32_t m_failures = 0;
    bool m_isBack = false;
};

} // namespace mangoshift
