#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "app/logline.h"

namespace mangoshift {

/// What the logs of one VM say of one request.
struct Explanation
{
    /// The name under which the VM's log was read.
    std::string vm;
    LogLine endEvent;
    /// What happened to the request, in order, in words.
    std::vector<std::string> steps;
    /// What the VM had logged before about the store, its configuration and the targets that the
    /// request was sent to, the latest of each, with its time.
    std::vector<std::string> background;
    /// Why it ended as it did, in words.
    std::string cause;
};

/// Reads VMs' logs for what became of one request.
class RequestSearch
{
public:
    explicit RequestSearch(std::string requestId);

    /// Reads one VM's log to its end.
    void read(const std::string &vm, std::istream &log);
    /// Returns one explanation for each VM that logged the end of the request, by time.
    std::vector<Explanation> explanations() const;
    /// Returns how many lines the VMs say that they left out: the request's may be among them.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    std::string m_requestId;
    std::vector<Explanation> m_explanations;
    std::uint64_t m_droppedLines = 0;
};

/// Returns the explanation as text for a person, or as one JSON object.
std::string toText(const Explanation &explanation);
std::string toJson(const Explanation &explanation);

} // namespace mangoshift
