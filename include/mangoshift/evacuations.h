#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangoshift {

/// An evacuation of a failure domain has started or ended.
struct EvacuationChange
{
    std::string failureDomain;
    bool isEvacuated = false;
    /// The revision of the store at which the change is known to hold.
    std::uint64_t revision = 0;

    bool operator==(const EvacuationChange &) const = default;
};

/// The failure domains to whose targets the operators want nothing sent.
///
/// Reports may come from the store and from other VMs in any order. Each counts as of a revision of
/// the store, and one that is older than what is known of a domain changes nothing. So an
/// evacuation neither ends nor returns because of stale state. Not thread safe.
class Evacuations
{
public:
    /// No more domains than this are recorded, so that a faulty writer cannot fill the memory.
    static constexpr std::size_t MaxDomains = 256;

    /// Records whether a domain is evacuated as of `revision`. Returns the change; nothing if
    /// there is none.
    std::vector<EvacuationChange> set(const std::string &failureDomain, bool isEvacuated,
                                      std::uint64_t revision);
    /// Records that exactly `failureDomains` are evacuated as of `revision`. Returns the changes.
    std::vector<EvacuationChange> replaceAll(const std::set<std::string> &failureDomains,
                                             std::uint64_t revision);

    /// Returns the evacuated domains.
    std::set<std::string> domains() const;
    /// Returns each evacuated domain with the revision at which it was last reported.
    std::map<std::string, std::uint64_t> revisions() const;

private:
    struct Record
    {
        bool isEvacuated = false;
        std::uint64_t revision = 0;
    };

    /// Makes room for another domain by dropping the oldest one that is not evacuated. Returns
    /// false if all are.
    bool makeRoom();

    /// The revision of the newest report that named all evacuated domains. Older reports on any
    /// domain, also on one without a record, are out of date.
    std::uint64_t m_completeRevision = 0;
    std::map<std::string, Record> m_records;
};

} // namespace mangoshift
