#include <cstdio>
#include <cstring>

#include "app/command.h"

namespace {

void printHelp(std::FILE *to)
{
    std::fputs("Usage: mangoshift COMMAND [OPTIONS]\n\nCommands:\n", to);
    for (const mangoshift::Command &command : mangoshift::commands())
        std::fprintf(to, "  %-8s %s\n", command.name, command.summary);
    std::fputs(
        "\n'mangoshift COMMAND --help' describes a command; 'mangoshift --version' prints the "
        "version.\nExit statuses: 0 success, 1 invalid input, incomplete answer or unmet "
        "outcome,\n2 invalid command line, 3 file or network failure, 4 a submission may have "
        "run.\n",
        to);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc >= 2 && std::strcmp(argv[1], "--version") == 0) {
        std::puts("mangoshift " MANGOSHIFT_VERSION);
        return mangoshift::ExitOk;
    }
    if (argc >= 2 && std::strcmp(argv[1], "--help") == 0) {
        printHelp(stdout);
        return mangoshift::ExitOk;
    }
    if (argc >= 2)
        for (const mangoshift::Command &command : mangoshift::commands())
            if (std::strcmp(argv[1], command.name) == 0)
                return command.main(argc - 1, argv + 1);
    printHelp(stderr);
    return mangoshift::ExitUsage;
}
