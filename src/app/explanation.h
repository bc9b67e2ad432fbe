#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "app/logline.h"

namespace mangoshift {

/// How a request ended and why, according to the log of one VM.
struct Explanation
{
    /// The name that was given to `RequestSearch::read` for the VM's log.
    std::string vm;
    /// The line with the event `request_ended` or `request_rejected`.
    LogLine endEvent;
    /// The decisions made for the request, in order, as text.
    std::vector<std::string> steps;
    /// The last events that the VM logged before the request ended, as text with timestamps. They
    /// concern the VM, its store, its configuration, its retry budget, and the targets that failed
    /// or were tried for a missing part.
    std::vector<std::string> background;
    /// Why the request ended as it did, as text.
    std::string cause;
};

/// Searches the logs of VMs for one request.
class RequestSearch
{
public:
    explicit RequestSearch(std::string requestId);

    /// Reads the log of one VM to its end.
    void read(const std::string &vm, std::istream &log);
    /// Returns an explanation for each log line that reports the end of the request, sorted by
    /// time. There may be several, for example if the request reached several VMs.
    std::vector<Explanation> explanations() const;
    /// Returns how many log lines the VMs report as dropped. The request's lines may be among them.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    std::string m_requestId;
    std::vector<Explanation> m_explanations;
    std::uint64_t m_droppedLines = 0;
};

/// Returns the explanation as text for people.
std::string toText(const Explanation &explanation);
/// Returns the explanation as a JSON object on one line.
std::string toJson(const Explanation &explanation);

} // namespace mangoshift
