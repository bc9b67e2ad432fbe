#include "app/files.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace mangoshift {

tl::expected<std::string, std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return tl::make_unexpected(path + ": " + std::strerror(errno));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace mangoshift
