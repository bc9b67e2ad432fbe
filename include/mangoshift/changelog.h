#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// Records the store revision at which each target last changed, so that another VM can be sent
/// only the changes that it lacks.
///
/// Keeps one revision for each target that was ever listed, up to a limit. Beyond the limit the
/// oldest entries are dropped; a VM that requests changes from before them gets the whole state.
/// Not thread safe.
class ChangeLog
{
public:
    /// Creates an empty log that keeps the revisions of at most `limit` targets.
    explicit ChangeLog(std::size_t limit);

    /// Clears the log. Changes up to and including `revision` are no longer covered.
    void resetTo(std::uint64_t revision);
    /// Records that the state was replaced as a whole: what came and went after `from` and before
    /// `to` is not known.
    void onGap(std::uint64_t from, std::uint64_t to);
    /// Records that a target was listed, changed or removed at `revision`.
    void onTargetChange(const TargetId &id, std::uint64_t revision);

    /// Returns whether the log holds every change after `revision`.
    bool covers(std::uint64_t revision) const;
    /// Returns the targets that changed after `revision`, each once.
    std::vector<TargetId> targetsChangedAfter(std::uint64_t revision) const;

private:
    /// The revisions between `from` and `to`, without these two, are not covered.
    struct Gap
    {
        std::uint64_t from;
        std::uint64_t to;
    };

    std::size_t m_limit;
    std::map<TargetId, std::uint64_t> m_targetRevisions;
    /// The log holds every change after this revision, and may lack changes up to and including it.
    std::uint64_t m_coveredAfter = std::numeric_limits<std::uint64_t>::max();
    /// In the order of their revisions.
    std::vector<Gap> m_gaps;
};

} // namespace mangoshift
