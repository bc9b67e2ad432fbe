#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// Remembers at which revision of the store each target and the configuration last changed, so that
/// another VM can be told only what it has not seen.
///
/// Holds one number for each target that was ever seen, up to a limit; beyond it the oldest are
/// forgotten, and those who ask for changes since then get the whole state. Not thread safe.
class ChangeLog
{
public:
    /// `limit` is the most targets that are remembered.
    explicit ChangeLog(std::size_t limit);

    /// Forgets all: nothing is known of what changed up to `revision`.
    void resetTo(std::uint64_t revision);
    /// Takes in that a target was listed, has changed or is gone.
    void onTargetChange(const TargetId &id, std::uint64_t revision);
    void onConfigurationChange(std::uint64_t revision) { m_configuration = revision; }

    /// Returns whether all changes after `revision` are remembered.
    bool covers(std::uint64_t revision) const { return revision >= m_forgotten; }
    std::vector<TargetId> targetsChangedAfter(std::uint64_t revision) const;
    bool hasConfigurationChangedAfter(std::uint64_t revision) const
    {
        return m_configuration > revision;
    }

private:
    std::size_t m_limit;
    std::map<TargetId, std::uint64_t> m_targets;
    std::uint64_t m_configuration = 0;
    /// What changed up to this revision is not remembered.
    std::uint64_t m_forgotten = std::numeric_limits<std::uint64_t>::max();
};

} // namespace mangoshift
