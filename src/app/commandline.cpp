#include "app/commandline.h"

#include <algorithm>
#include <cstdio>

#include <getopt.h>

#include "app/command.h"

namespace mangoshift {

CommandOption textOption(const char *name, char letter, std::string &text)
{
    return {name, letter, [&text](const char *argument) {
                text = argument;
                return true;
            }};
}

CommandOption flagOption(const char *name, char letter, bool &flag)
{
    return {name, letter,
            [&flag](const char *) {
                flag = true;
                return true;
            },
            false};
}

int usageError(const char *usage)
{
    std::fputs(usage, stderr);
    return ExitUsage;
}

tl::expected<std::vector<std::string>, int>
readCommandLine(int argc, char **argv, const char *usage, const std::vector<CommandOption> &options)
{
    std::vector<option> longOptions;
    std::string letters = "h";
    for (const CommandOption &each : options) {
        longOptions.push_back(
            {each.name, each.hasArgument ? required_argument : no_argument, nullptr, each.letter});
        letters += each.letter;
        if (each.hasArgument)
            letters += ':';
    }
    longOptions.push_back({"help", no_argument, nullptr, 'h'});
    longOptions.push_back({nullptr, 0, nullptr, 0});
    // Resets getopt_long, which may have parsed another command line before.
    optind = 0;
    for (int c = 0;
         (c = getopt_long(argc, argv, letters.c_str(), longOptions.data(), nullptr)) != -1;) {
        if (c == 'h') {
            std::fputs(usage, stdout);
            return tl::make_unexpected<int>(ExitOk);
        }
        const auto it = std::find_if(options.begin(), options.end(),
                                     [&](const CommandOption &each) { return each.letter == c; });
        if (it == options.end() || !it->setArgument(optarg))
            return tl::make_unexpected(usageError(usage));
    }
    return std::vector<std::string>(argv + optind, argv + argc);
}

} // namespace mangoshift
