#pragma once

#include <string>

namespace mangoshift {

/// Writes the events of the servers to a file, one JSON object per line. Each line is written
/// immediately, so that it survives a kill of the process. Disabled if the path is empty.
class EventFile
{
public:
    /// Throws std::system_error if the file cannot be opened.
    explicit EventFile(const std::string &path);
    ~EventFile();
    EventFile(const EventFile &) = delete;
    EventFile &operator=(const EventFile &) = delete;

    bool isEnabled() const { return m_file >= 0; }
    /// Appends `line` and a line break. Throws std::system_error if the write fails.
    void write(const std::string &line) const;

private:
    int m_file = -1;
};

} // namespace mangoshift
