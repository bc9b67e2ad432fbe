#pragma once

#include <string>

namespace mangoshift {

/// The record of what reached the servers, a JSON object a line, written as it happens so that it
/// outlives a killed process. Without a path nothing is kept.
class EventFile
{
public:
    /// Throws where the file cannot be written.
    explicit EventFile(const std::string &path);
    ~EventFile();
    EventFile(const EventFile &) = delete;
    EventFile &operator=(const EventFile &) = delete;

    bool isEnabled() const { return m_file >= 0; }
    void write(const std::string &line) const;

private:
    int m_file = -1;
};

} // namespace mangoshift
