#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

#include "config/documentjson.h"
#include "config/documentparts.h"
#include "mangoshift/configstore.h"

using namespace mangoshift;
using Json = nlohmann::json;

namespace {

constexpr int Seeds = 2000;
/// Every version that is a multiple of this number is invalid.
constexpr ConfigVersion InvalidEvery = 7;

std::string numbered(std::string name, std::size_t number)
{
    name += std::to_string(number);
    return name;
}

std::vector<ConfigPart> partsOf(const std::vector<std::string> &texts)
{
    std::vector<ConfigPart> parts;
    parts.reserve(texts.size());
    for (const std::string &text : texts)
        parts.push_back({partHash(text), text});
    return parts;
}

/// Returns the parts of a version: one common to all versions, one that changes with every fourth
/// version, and one of this version alone.
std::vector<ConfigPart> partsOfVersion(ConfigVersion version)
{
    return partsOf({"shared", numbered("slow ", version / 4), std::to_string(version)});
}

std::string documentText(std::size_t targets, ConfigVersion base = 0)
{
    Json document{{"base_version", base},
                  {"request_kinds", {{{"name", "browse"}}}},
                  {"targets", Json::array()},
                  {"services", Json::array()}};
    for (std::size_t i = 0; i < targets; ++i)
        document["targets"].push_back({{"name", numbered("t", i)},
                                       {"address", numbered("127.0.0.1:", 1000 + i)},
                                       {"failure_domain", "a"}});
    for (const char *service : {"first", "second"})
        document["services"].push_back({{"name", service},
                                        {"kind", "browse"},
                                        {"shards", {{{"name", "s"}, {"replicas", {"t0"}}}}}});
    return document.dump();
}

/// Simulates the stores of VMs that restart and whose network loses, duplicates and reorders
/// messages.
class Stores
{
public:
    explicit Stores(std::uint64_t seed)
        : m_random(seed)
        , m_stores(Count)
    {
    }

    void step(ConfigVersion newest, bool isFaultFree)
    {
        m_now += std::chrono::milliseconds(100);
        for (std::size_t vm = 0; vm < Count; ++vm) {
            perform(vm, m_stores[vm].onTick(m_now));
            const std::size_t peer = m_random() % Count;
            const ConfigVersion peerVersion = m_stores[peer].heldVersion();
            perform(vm,
                    m_stores[vm].onPeerHeartbeat(std::to_string(peer), peerVersion, true, m_now));
        }
        // The platform may return a stale version, unless the network is free of faults.
        const ConfigVersion offered = isFaultFree ? newest : m_random() % newest + 1;
        const std::size_t reader = m_random() % Count;
        perform(reader,
                m_stores[reader].onPlatformDocument(offered, partsOfVersion(offered), m_now));
        if (!isFaultFree && m_random() % 40 == 0)
            restart(m_random() % Count);
        deliver(isFaultFree);
    }

    const ConfigStore &store(std::size_t vm) const { return m_stores[vm]; }
    bool hasRegressed() const { return m_hasRegressed; }
    bool hasMixedVersions() const { return m_hasMixedVersions; }
    bool allHaveInForce(ConfigVersion version) const
    {
        return std::all_of(m_stores.begin(), m_stores.end(),
                           [&](const ConfigStore &store) { return store.version() == version; });
    }

    static constexpr std::size_t Count = 5;

private:
    struct PendingReply
    {
        std::size_t to = 0;
        ConfigPullReply pullReply;
    };

    void restart(std::size_t vm)
    {
        m_stores[vm] = {};
        m_inForce[vm] = 0;
    }

    void perform(std::size_t vm, const ConfigActions &actions)
    {
        for (const ConfigAction &action : actions) {
            if (const auto *pull = std::get_if<PullConfig>(&action)) {
                const std::size_t peer = std::stoul(pull->vm);
                m_pendingReplies.push_back(
                    {vm, m_stores[peer].pullReply(pull->version, pull->hashes)});
                continue;
            }
            if (const auto *inForce = std::get_if<PutInForce>(&action)) {
                m_hasRegressed = m_hasRegressed || inForce->version <= m_inForce[vm];
                m_inForce[vm] = inForce->version;
                continue;
            }
            if (const auto *check = std::get_if<CheckDocument>(&action))
                this->check(vm, *check);
        }
    }

    void check(std::size_t vm, const CheckDocument &document)
    {
        std::vector<std::string> whole;
        for (const ConfigPart &part : partsOfVersion(document.version))
            whole.push_back(part.text);
        m_hasMixedVersions = m_hasMixedVersions || whole != document.parts;
        const bool isValid = document.version % InvalidEvery != 0;
        perform(vm, m_stores[vm].onDocumentChecked(document.version, isValid, true, m_now));
    }

    void deliver(bool isFaultFree)
    {
        std::deque<PendingReply> due;
        due.swap(m_pendingReplies);
        std::shuffle(due.begin(), due.end(), m_random);
        for (const PendingReply &each : due) {
            if (!isFaultFree && m_random() % 4 == 0)
                continue;
            if (!isFaultFree && m_random() % 4 == 0) {
                m_pendingReplies.push_back(each);
                continue;
            }
            const int times = !isFaultFree && m_random() % 4 == 0 ? 2 : 1;
            for (int i = 0; i < times; ++i)
                perform(each.to, m_stores[each.to].onPullReply(each.pullReply, m_now));
        }
    }

    std::mt19937_64 m_random;
    Clock::time_point m_now{std::chrono::hours(1)};
    std::vector<ConfigStore> m_stores;
    std::map<std::size_t, ConfigVersion> m_inForce;
    std::deque<PendingReply> m_pendingReplies;
    bool m_hasRegressed = false;
    bool m_hasMixedVersions = false;
};

} // namespace

TEST_CASE("VMs fetch a configuration from each other in parts")
{
    const Clock::time_point now{std::chrono::hours(1)};
    ConfigStore source;
    source.onPlatformDocument(4, partsOf({"a", "b", "c"}), now);
    source.onDocumentChecked(4, true, false, now);
    REQUIRE(source.version() == 4);

    GIVEN("a VM that has the previous version")
    {
        ConfigStore store;
        store.onPlatformDocument(3, partsOf({"a", "b", "x"}), now);
        store.onDocumentChecked(3, true, false, now);
        REQUIRE(store.version() == 3);
        const auto first = store.onPeerHeartbeat("peer", 4, true, now);
        const auto second = store.onPullReply(source.pullReply(4, {}), now);

        SECTION("it requests the list of parts, then only the parts that it lacks")
        {
            REQUIRE(first.size() == 1);
            CHECK(std::get<PullConfig>(first[0]).hashes.empty());
            REQUIRE(second.size() == 1);
            CHECK(std::get<PullConfig>(second[0]).hashes
                  == std::vector<std::uint64_t>{partHash("c")});
        }

        SECTION("it assembles the document in order")
        {
            const auto third = store.onPullReply(source.pullReply(4, {partHash("c")}), now);
            REQUIRE(third.size() == 1);
            CHECK(std::get<CheckDocument>(third[0]).parts
                  == std::vector<std::string>{"a", "b", "c"});
        }

        SECTION("a part whose text does not match its hash is rejected")
        {
            CHECK(store.onPullReply({4, {}, {{partHash("c"), "forged"}}}, now).empty());
        }

        SECTION("it accepts no older version from any source")
        {
            CHECK(store.onPeerHeartbeat("stale", 2, true, now).empty());
            CHECK(store.onPlatformDocument(2, partsOf({"old"}), now).empty());
            CHECK(store.onPlatformDocument(3, partsOf({"other"}), now).empty());
        }

        SECTION("a pull that gets no reply times out, and another peer is used")
        {
            CHECK(store.onPeerHeartbeat("other", 5, true, now).empty());
            store.onTick(now + std::chrono::seconds(2));
            CHECK(store.onPeerHeartbeat("other", 5, true, now).size() == 1);
        }
    }

    GIVEN("a VM without a configuration")
    {
        ConfigStore store;

        SECTION("it accepts no version below the newest known one")
        {
            store.onPeerHeartbeat("peer", 4, false, now);
            CHECK(store.onPlatformDocument(3, partsOf({"stale"}), now).empty());
            CHECK(store.onPeerHeartbeat("behind", 3, true, now).empty());
            CHECK(store.onPeerHeartbeat("peer", 4, true, now).size() == 1);
        }

        SECTION("it accepts an older version if the newest one stays unavailable")
        {
            store.onPeerHeartbeat("peer", 4, false, now);
            CHECK(store.onPlatformDocument(3, partsOf({"old"}), now).empty());
            const auto later = now + std::chrono::seconds(6);
            CHECK(store.onPlatformDocument(3, partsOf({"old"}), later).size() == 1);
        }
    }

    GIVEN("a newer version from the platform, and peers that do not hold it")
    {
        source.onPlatformDocument(6, partsOf({"a", "b", "d"}), now);
        const auto actions = source.onDocumentChecked(6, true, true, now);

        SECTION("it is held and announced, but not in force yet")
        {
            REQUIRE(actions.size() == 1);
            CHECK(std::holds_alternative<AnnounceConfig>(actions[0]));
            CHECK(source.version() == 4);
            CHECK(source.heldVersion() == 6);
            CHECK(source.pullReply(6, {}).version == 6);
        }

        SECTION("it comes in force once a peer holds it too")
        {
            CHECK(source.onPeerHeartbeat("peer", 4, true, now).empty());
            const auto confirmed = source.onPeerHeartbeat("peer", 6, true, now);
            REQUIRE(confirmed.size() == 1);
            CHECK(std::get<PutInForce>(confirmed[0]).version == 6);
            CHECK(source.version() == 6);
        }

        SECTION("it comes in force after a timeout if no peer is known to hold it")
        {
            CHECK(source.onTick(now + std::chrono::milliseconds(500)).empty());
            CHECK(source.onTick(now + std::chrono::seconds(2)).size() == 1);
            CHECK(source.version() == 6);
        }
    }

    GIVEN("a document that was rejected")
    {
        source.onPlatformDocument(5, partsOf({"bad"}), now);
        CHECK(source.onDocumentChecked(5, false, true, now).empty());

        SECTION("the last valid one stays in force, and the rejected one is not checked again")
        {
            CHECK(source.version() == 4);
            CHECK(source.newestCheckedVersion() == 5);
            CHECK(source.onPlatformDocument(5, partsOf({"bad"}), now).empty());
            CHECK(source.onPlatformDocument(6, partsOf({"good"}), now).size() == 1);
        }
    }
}

TEST_CASE("Versions never go back, whatever the network and the platform do")
{
    SECTION("and all VMs converge on the newest valid version, for any seed")
    {
        for (int seed = 0; seed < Seeds; ++seed) {
            Stores stores(seed);
            ConfigVersion newest = 1;
            for (int i = 0; i < 60; ++i) {
                newest += i % 2;
                stores.step(newest, false);
            }
            const ConfigVersion newestValid = newest % InvalidEvery == 0 ? newest - 1 : newest;
            for (int i = 0; i < 200 && !stores.allHaveInForce(newestValid); ++i)
                stores.step(newest, true);
            INFO("seed " << seed << ", newest " << newest << ", vm0 has "
                         << stores.store(0).version());
            REQUIRE_FALSE(stores.hasRegressed());
            REQUIRE_FALSE(stores.hasMixedVersions());
            if (newest % InvalidEvery != 0)
                REQUIRE(stores.allHaveInForce(newest));
        }
    }
}

TEST_CASE("A document is split into parts")
{
    const std::string text = documentText(200);
    const auto parts = splitDocument(text);
    REQUIRE(parts);

    SECTION("that can be joined to the same document")
    {
        std::vector<std::string> texts;
        for (const ConfigPart &part : *parts)
            texts.push_back(part.text);
        CHECK(Json::parse(*joinDocument(texts)) == Json::parse(text));
    }

    SECTION("at most two of which change when a target is added")
    {
        Json changed = Json::parse(text);
        Json &targets = changed["targets"];
        targets.insert(targets.begin() + 20, {{"name", "new"}, {"address", "127.0.0.1:1"}});
        std::size_t different = 0;
        const auto changedParts = splitDocument(changed.dump());
        for (const ConfigPart &part : *changedParts)
            if (std::none_of(parts->begin(), parts->end(),
                             [&](const ConfigPart &each) { return each.hash == part.hash; }))
                ++different;
        CHECK(different >= 1);
        CHECK(different <= 2);
    }

    SECTION("and a malformed part cannot be joined to a document")
    {
        CHECK_FALSE(joinDocument({"{\"rest\":{}}", "nonsense"}));
        CHECK_FALSE(joinDocument({"{\"targets\":[]}"}));
        CHECK_FALSE(splitDocument("[]"));
    }
}

TEST_CASE("A document that removes most targets at once")
{
    const Document current = *parseDocument(documentText(10), 5);

    SECTION("is distinguished from one that removes half of them")
    {
        CHECK(removesMostTargets(current, *parseDocument(documentText(4), 6)));
        CHECK_FALSE(removesMostTargets(current, *parseDocument(documentText(5), 6)));
    }
}

TEST_CASE("Two documents edited from one version")
{
    const Document current = *parseDocument(documentText(3, 4), 5);

    SECTION("the later one is detected by its base version, which is no longer in force")
    {
        CHECK(hasStaleBase(current, *parseDocument(documentText(3, 4), 6)));
        CHECK_FALSE(hasStaleBase(current, *parseDocument(documentText(3, 5), 6)));
        CHECK_FALSE(hasStaleBase(current, *parseDocument(documentText(3, 0), 6)));
    }
}

TEST_CASE("A few VMs of each failure domain watch the platform")
{
    const auto viewOf = [](std::size_t size) {
        MemberView view;
        for (std::size_t i = 0; i < size; ++i)
            view.members.push_back(
                {numbered("vm", i), numbered("domain", i % 3), "region", "127.0.0.1:1", i, false});
        return view;
    };
    const auto watchers = [](const MemberView &view) {
        return std::count_if(view.members.begin(), view.members.end(),
                             [&](const Member &each) { return isPlatformWatcher(view, each); });
    };

    SECTION("two in each domain, whatever the number of VMs")
    {
        CHECK(watchers(viewOf(7)) == 6);
        CHECK(watchers(viewOf(60)) == 6);
    }

    SECTION("another VM takes over from a watcher that leaves")
    {
        MemberView view = viewOf(60);
        const auto watcher =
            std::find_if(view.members.begin(), view.members.end(),
                         [&](const Member &each) { return isPlatformWatcher(view, each); });
        watcher->isLeaving = true;
        CHECK(std::count_if(view.members.begin(), view.members.end(),
                            [&](const Member &each) {
                                return !each.isLeaving && isPlatformWatcher(view, each);
                            })
              == 6);
    }

    SECTION("the reads of the other VMs do not grow with the size of a domain")
    {
        const MemberView few = viewOf(30);
        const MemberView many = viewOf(300);
        CHECK(fallbackInterval(few, few.members[0]) == std::chrono::seconds(100));
        CHECK(fallbackInterval(many, many.members[0]) == std::chrono::seconds(1000));
    }
}
