#include "fakeservers/eventfile.h"

#include <cerrno>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

namespace mangoshift {

EventFile::EventFile(const std::string &path)
{
    if (path.empty())
        return;
    m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_file < 0)
        throw std::system_error(errno, std::generic_category(), path);
}

EventFile::~EventFile()
{
    if (m_file >= 0)
        ::close(m_file);
}

void EventFile::write(const std::string &line) const
{
    const std::string terminatedLine = line + "\n";
    if (m_file >= 0 && ::write(m_file, terminatedLine.data(), terminatedLine.size()) < 0)
        throw std::system_error(errno, std::generic_category(), "event file");
}

} // namespace mangoshift
