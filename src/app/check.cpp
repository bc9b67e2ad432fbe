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
    "Validates the settings of a process, or the operators' document, as an entry VM does, and\n"
    "prints each fault with its JSON pointer. Exits with 0 if there are none, with 1 if any.\n"
    "\n"
    "  -s, --settings FILE        settings of `serve` to check; may be repeated\n"
    "  -e, --entry-settings FILE  settings of `entry` to check; may be repeated\n"
    "  -d, --document FILE        document to check; may be repeated\n"
    "  -h, --help                 print this text\n";

/// Parses a file, prints its faults and returns the exit status.
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
        std::printf("%s: no faults\n", path);
        return ExitOk;
    }
    for (const Fault &fault : parsed.error())
        std::printf("%s: %s: %s\n", path, fault.path.empty() ? "(root)" : fault.path.c_str(),
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
