#include "app/command.h"

namespace mangoshift {

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {"entry", "run an entry VM on a platform with a store", entryMain},
        {"serve", "run an entry VM", serveMain},
        {"check", "validate settings or a configuration before it is sent", checkMain},
        {"query", "send a query as a caller does", queryMain},
        {"submit", "run a request at most once, as a caller does", submitMain},
        {"state", "print the state dump of a running VM", stateMain},
        {"explain", "explain from logs how a request ended, and why", explainMain},
        {"replay", "replay traces and check their stated outcomes", replayMain},
    };
    return all;
}

} // namespace mangoshift
