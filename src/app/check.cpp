#include <algorithm>
#include <cstdio>
#include <string>

#include "app/command.h"
#include "app/commandline.h"
#include "app/files.h"
#include "config/documentjson.h"
#include "config/settings.h"
#include "entry/entrysettings.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift check --settings FILE | --entry-settings FILE | --document FILE\n"
    "\n"
    "Checks a process's settings or the operators' document as an entry VM would, and prints each\n"
    "fault with its JSON pointer. Exits with 0 where there is none, with 1 where there is one.\n"
    "\n"
    "  -s, --settings FILE        the settings of `serve` to check; may be given again\n"
    "  -e, --entry-settings FILE  the settings of `entry` to check; may be given again\n"
    "  -d, --document FILE        the document to check; may be given again\n"
    "  -h, --help                 print this text\n";

template <typename Parse>
int checkFile(const char *path, Parse parse)
{
    const auto text = readFile(path);
    if (!text) {
        std::fprintf(stderr, "mangoshift check: %s\n", text.error().c_str());
        return ExitFailure;
    }
    const auto parsed = parse(*text);
    if (parsed) {
        std::printf("%s: no fault\n", path);
        return ExitOk;
    }
    for (const Fault &fault : parsed.error())
        std::printf("%s: %s: %s\n", path, fault.path.empty() ? "(whole)" : fault.path.c_str(),
                    fault.message.c_str());
    return ExitFault;
}

} // namespace

int checkMain(int argc, char **argv)
{
    int worstStatus = ExitOk;
    bool hasFile = false;
    const auto recordStatus = [&](int status) {
        hasFile = true;
        worstStatus = std::max(worstStatus, status);
        return true;
    };
    const auto checkSettings = [&](const char *path) {
        return recordStatus(checkFile(path, parseSettings));
    };
    const auto checkEntrySettings = [&](const char *path) {
        return recordStatus(checkFile(path, parseEntrySettings));
    };
    const auto checkDocument = [&](const char *path) {
        return recordStatus(
            checkFile(path, [](const std::string &text) { return parseDocument(text, 1); }));
    };
    const auto operands = readCommandLine(argc, argv, Usage,
                                          {{"settings", 's', checkSettings},
                                           {"entry-settings", 'e', checkEntrySettings},
                                           {"document", 'd', checkDocument}});
    if (!operands)
        return operands.error();
    if (!hasFile || !operands->empty())
        return usageError(Usage);
    return worstStatus;
}

} // namespace mangoshift
