// Updates a ConfigStore to a newer configuration from a peer, fetching only the part that changed,
// and shows that it ignores an older configuration offered by a stale platform.

#include <cstdio>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/configstore.h"

using namespace mangoshift;

namespace {

std::vector<ConfigPart> partsOf(const std::vector<std::string> &texts)
{
    std::vector<ConfigPart> parts;
    parts.reserve(texts.size());
    for (const std::string &text : texts)
        parts.push_back({partHash(text), text});
    return parts;
}

} // namespace

int main()
{
    const Clock::time_point now = Clock::now();
    ConfigStore peer;
    ConfigStore store;

    // Both start with version 1, and the peer receives version 2 from the platform. A document is
    // adopted only after its check has found it valid.
    for (ConfigStore *each : {&peer, &store}) {
        each->onPlatformDocument(1, partsOf({"shared", "old"}), now);
        each->onDocumentChecked(1, true, false, now);
    }
    peer.onPlatformDocument(2, partsOf({"shared", "new"}), now);
    peer.onDocumentChecked(2, true, false, now);

    // A heartbeat announces version 2: the store pulls the list of parts, then the missing parts.
    const ConfigActions first = store.onPeerHeartbeat("peer", peer.version(), true, now);
    const auto &list = std::get<PullConfig>(first.at(0));
    const ConfigActions second = store.onPullReply(peer.pullReply(list.version, list.hashes), now);
    const auto &pull = std::get<PullConfig>(second.at(0));
    std::printf("parts fetched: %zu of 2\n", pull.hashes.size());
    const ConfigActions third = store.onPullReply(peer.pullReply(pull.version, pull.hashes), now);
    const auto &document = std::get<CheckDocument>(third.at(0));
    store.onDocumentChecked(document.version, true, true, now);
    std::printf("in force: version %lu, ending in '%s'\n",
                static_cast<unsigned long>(store.version()), document.parts.back().c_str());

    const bool acceptsOlder = !store.onPlatformDocument(1, partsOf({"shared", "old"}), now).empty();
    std::printf("accepts version 1 again: %s\n", acceptsOlder ? "yes" : "no");
    return store.version() == 2 && pull.hashes.size() == 1 && !acceptsOlder ? 0 : 1;
}
