#include "app/command.h"

namespace mangoshift {

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {"entry", "run one entry VM on a platform with a store", entryMain},
        {"serve", "run one entry VM", serveMain},
        {"check", "check settings or the operators' document", checkMain},
        {"query", "send one query as a caller does", queryMain},
        {"submit", "run one request at most once, as a caller does", submitMain},
        {"state", "print the state dump of a running VM", stateMain},
        {"explain", "say from logs what became of a request, and why", explainMain},
        {"replay", "replay recorded traces against stated outcomes", replayMain},
    };
    return all;
}

} // namespace mangoshift
