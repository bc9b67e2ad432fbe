#include "entry/registryduty.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "http/httpstatus.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t RingCapacity = 1024;
/// How long one listing call may take: the store answers in 4 ms, and in some 200 ms when slow.
constexpr milliseconds ListTimeout{1500};
/// What an answer to a watch may take beyond the wait that was asked for.
constexpr milliseconds WatchSlack{700};
/// How long removals wait after an outage of the store. The platform promises that entries which
/// lapsed meanwhile are back within about two seconds if the target lives.
constexpr milliseconds ReturnGrace{2300};
/// How long a question to another VM, or to the store where others rely on this VM, waits for a
/// change: a VM that is cut off is noticed within this time and the slack.
constexpr milliseconds FollowedWait{1000};
/// What a VM's answer may take beyond the wait, on a VM that is slowed several times.
constexpr milliseconds PeerSlack{600};
/// How often a VM that knows nothing yet looks for others: a seed that starts beside it is there
/// some ten milliseconds later.
constexpr milliseconds JoinTick{50};
/// How long a VM that knows nothing yet waits for one answer: several times what the store takes to
/// be listed, as the VM that is asked may have just begun to.
constexpr milliseconds FirstAnswerPatience{300};
/// How long a peer that did not answer is left alone: as long as a process takes to start again.
constexpr milliseconds PeerAvoidance{2000};
/// Knowledge of the store this old is not followed where there is a better source: a wait, the half
/// second for which changes are gathered, and a slow store's answer. A configuration has three
/// seconds to be in force, also where the VM that is followed has just been cut off.
constexpr milliseconds FreshFor{1800};
/// Targets that are remembered with their revisions: three times those of the size to design for.
constexpr std::size_t RememberedTargets = 8192;

/// A VM asks for heartbeats less often than homes do: its share of a core is small, and nothing on
/// a request's way depends on them.
MembershipOptions membershipOptions()
{
    MembershipOptions options;
    options.tick = milliseconds(250);
    options.period = milliseconds(1000);
    options.alonePeriod = JoinTick;
    options.probeTimeout = milliseconds(400);
    options.suspicion = milliseconds(3000);
    return options;
}

/// The seeds' names are not known; each is probed under its address and answers with its name.
std::vector<Member> membersOf(const std::vector<std::string> &seeds)
{
    std::vector<Member> members;
    for (const std::string &seed : seeds)
        members.push_back({seed, "", "", seed});
    return members;
}

std::string nameOf(const StoreSource &source)
{
    const auto *peer = std::get_if<FromPeer>(&source);
    return peer == nullptr ? "store" : peer->vm;
}

milliseconds wholeMilliseconds(Clock::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

} // namespace

RegistryDuty::RegistryDuty(const EntrySettings &settings, Member self, const WireAdapter &adapter,
                           RegistrySinks sinks, Metrics &metrics)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_adapter(adapter)
    , m_sinks(std::move(sinks))
    , m_metrics(metrics)
    , m_duty("registry", RingCapacity)
    , m_connection(m_duty.io(), settings.storeAddress)
    , m_registry(ReturnGrace)
    , m_changes(RememberedTargets)
    , m_picker(m_self, settings.seeds, Clock::now())
    , m_pool(settings.retryBudget)
    , m_questions(m_duty.io(), [this](const PeerQuestion &question) { answer(question); })
    , m_memberTick(m_duty.io())
    , m_waitTimer(m_duty.io())
    , m_pullTimer(m_duty.io())
    , m_expiryTimer(m_duty.io())
{
    if (!settings.peerAddress)
        return;
    m_members = std::make_unique<MemberExchange>(
        m_duty.io(), *settings.peerAddress, m_self, membershipOptions(),
        MemberSinks{[this](MemberViewPtr view) { onView(std::move(view)); }, m_sinks.sendToVm,
                    m_sinks.sendOnLink, [](const HeartbeatMessage &) {}},
        metrics);
}

RegistryDuty::~RegistryDuty()
{
    stop();
}

void RegistryDuty::start()
{
    asio::post(m_duty.io(), [this] {
        if (m_members) {
            m_members->start();
            m_members->onList(membersOf(m_settings.seeds), Clock::now());
            armMemberTick();
        }
        askNext();
    });
    m_duty.start([this](RegistryMessage &message) { handle(message); });
}

void RegistryDuty::handle(RegistryMessage &message)
{
    std::visit(Overloaded{[this](StateRequest &request) { request.reply(stateJson()); },
                          [this](ControlFrame &each) { onFrame(each); },
                          [this](PeerLost &lost) {
                              if (m_asking == StoreSource(FromPeer{lost.vm}))
                                  onPeerFailure("lost");
                          },
                          [this](BudgetQuestion &question) { askPool(question); },
                          [this](SeedsChanged &seeds) {
                              if (m_members)
                                  m_members->onList(membersOf(seeds.addresses), Clock::now());
                          },
                          [this](LinkLost &lost) { m_questions.onLinkLost(lost.link); },
                          [this](StartLeaving &) {
                              if (m_members)
                                  m_members->leave();
                          }},
               message);
}

void RegistryDuty::onFrame(ControlFrame &message)
{
    if (const wire::StatePullT *pull = message.frame->body.AsStatePull()) {
        const auto wait = std::min(milliseconds(pull->wait_ms), FollowedWait);
        const Clock::time_point now = Clock::now();
        // The answer does not wait for longer than it is worth following.
        const PeerQuestion question{message.link, pull->sequence, pull->after_revision,
                                    std::clamp(m_heardAt + FreshFor, now, now + wait)};
        if (m_hasListed && pull->after_revision < m_follower.revision())
            answer(question);
        else
            m_questions.add(question);
    } else if (wire::StateReplyT *reply = message.frame->body.AsStateReply()) {
        onPeerState(*reply);
    } else if (const wire::BudgetAskT *ask = message.frame->body.AsBudgetAsk()) {
        wire::BudgetGrantT grant;
        grant.sequence = ask->sequence;
        grant.counts = toWire(grantFromPool(fromWire(ask->counts)));
        m_sinks.sendOnLink(message.link, makeFrame(std::move(grant)));
    } else if (const wire::BudgetGrantT *grant = message.frame->body.AsBudgetGrant()) {
        m_sinks.onGrants({grant->sequence, fromWire(grant->counts)});
    } else if (m_members) {
        m_members->onFrame(message.link, *message.frame);
    }
}

void RegistryDuty::onView(MemberViewPtr view)
{
    m_sinks.onFleetSize(m_members->membership().table().size());
    m_sinks.onMembers(view);
    m_picker.setMembers(std::move(view));
    updatePool();
    // A starting VM asks the first that it hears of.
    if (!m_hasListed && !m_asking)
        askNext();
}

void RegistryDuty::updatePool()
{
    const std::vector<MemberRecord> known = m_members->membership().table();
    const auto inDomain =
        std::count_if(known.begin(), known.end(), [this](const MemberRecord &record) {
            return record.member.failureDomain == m_self.failureDomain;
        });
    // As many VMs are assumed as the others assume, so that the pools' sum is at most the whole.
    const auto all = std::max(known.size(), m_settings.assumedVms);
    m_pool.setSlackShare(PooledSlack * static_cast<double>(inDomain) / static_cast<double>(all));
    m_poolKeeper = poolKeeper(*m_members->membership().view(), m_self);
    m_pool.setKeeper(m_poolKeeper == m_self.vm, Clock::now());
}

void RegistryDuty::askPool(BudgetQuestion &question)
{
    if (m_poolKeeper == m_self.vm) {
        m_sinks.onGrants({question.sequence, grantFromPool(question.wanted)});
        return;
    }
    wire::BudgetAskT ask;
    ask.sequence = question.sequence;
    ask.counts = toWire(question.wanted);
    m_sinks.sendToVm(m_poolKeeper, makeFrame(std::move(ask)));
}

BudgetCounts RegistryDuty::grantFromPool(const BudgetCounts &wanted)
{
    const Clock::time_point now = Clock::now();
    BudgetCounts granted;
    for (const auto &[service, count] : wanted)
        granted.emplace_back(service, m_pool.grant(service, count, now));
    return granted;
}

void RegistryDuty::armMemberTick()
{
    m_memberTick.expires_after(m_hasListed ? membershipOptions().tick : JoinTick);
    m_memberTick.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        m_members->onTick();
        armMemberTick();
    });
}

void RegistryDuty::askNext()
{
    const Clock::time_point now = Clock::now();
    if (m_asking)
        return;
    m_asking = m_picker.pick(now);
    if (!m_asking) {
        waitUntil(m_picker.retryAt(now));
        return;
    }
    m_waitTimer.cancel();
    const StoreSource source = *m_asking;
    std::visit(Overloaded{[this](const FromStore &) { perform(m_follower.onWaited()); },
                          [this](const FromPeer &peer) { askPeer(peer.vm); }},
               source);
}

void RegistryDuty::waitUntil(Clock::time_point at)
{
    if (at == Clock::time_point::max())
        return;
    m_waitTimer.expires_at(at);
    m_waitTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            askNext();
    });
}

void RegistryDuty::perform(const StoreStep &step)
{
    const auto watchWait = m_picker.hasFollowers() ? FollowedWait : m_settings.watchWait;
    std::visit(Overloaded{[this](const ReadPage &page) {
                              if (page.afterKey.empty())
                                  m_listed.clear();
                              ask(m_adapter.listTarget(page.afterKey), ListTimeout, true);
                          },
                          [this, watchWait](const WatchChanges &watch) {
                              ask(m_adapter.watchTarget(watch.revision, watchWait),
                                  watchWait + WatchSlack, false);
                          },
                          [this](const WaitBeforeNext &wait) {
                              m_asking.reset();
                              waitUntil(Clock::now() + wait.delay);
                          }},
               step);
}

void RegistryDuty::ask(const std::string &target, milliseconds timeout, bool isListing)
{
    m_askedAt = Clock::now();
    m_connection.get(target, timeout, [this, isListing](const StoreConnection::Result &result) {
        onResult(result, isListing);
    });
}

void RegistryDuty::onResult(const StoreConnection::Result &result, bool isListing)
{
    const Clock::duration took = Clock::now() - m_askedAt;
    if (!result) {
        m_sinks.onRead("failed", took);
        onFailure(result.error());
        return;
    }
    if (result->status == httpstatus::Gone) {
        m_sinks.onRead("history_gone", took);
        logEvent(LogLevel::Warning, "store_history_gone",
                 {{"revision", std::to_string(m_follower.revision())}});
        perform(m_follower.onHistoryGone());
        return;
    }
    if (result->status != httpstatus::Ok
        && !(isListing && result->status == httpstatus::NotFound)) {
        m_sinks.onRead("refused", took);
        onFailure("status " + std::to_string(result->status));
        return;
    }
    const auto answer =
        isListing ? m_adapter.parseListing(result->body) : m_adapter.parseChanges(result->body);
    if (!answer) {
        m_sinks.onRead("failed", took);
        onFailure(answer.error());
        return;
    }
    m_sinks.onRead("ok", took);
    m_picker.onAnswered(FromStore{}, Clock::now());
    noteSource(FromStore{});
    hear(Clock::now());
    if (isListing) {
        onPage(*answer);
        return;
    }
    const StoreStep step = m_follower.onChanges(answer->revision, !answer->entries.empty());
    onAnswer();
    for (const StoreEntry &entry : answer->entries)
        take(entry, answer->revision);
    answerPeers();
    goOn(step);
}

/// Asks the store on within one listing; else the source is chosen anew.
void RegistryDuty::goOn(const StoreStep &step)
{
    if (!std::holds_alternative<WatchChanges>(step)) {
        perform(step);
        return;
    }
    m_asking.reset();
    askNext();
}

void RegistryDuty::onPage(const StoreAnswer &answer)
{
    const StoreStep step = m_follower.onPage(answer.revision, !answer.isTruncated, answer.lastKey);
    onAnswer();
    for (const StoreEntry &entry : answer.entries) {
        if (const auto *target = std::get_if<RegisteredTarget>(&entry.value))
            m_listed.push_back(*target);
        else
            take(entry, m_follower.revision());
    }
    if (!m_follower.isListing()) {
        replaceTargets(m_listed, m_follower.revision());
        m_listed.clear();
    }
    goOn(step);
}

void RegistryDuty::replaceTargets(const std::vector<RegisteredTarget> &targets,
                                  std::uint64_t revision)
{
    if (!m_hasListed)
        m_changes.startAt(revision);
    const auto noteHeld = [this, revision] {
        for (const auto &[id, target] : m_registry.targets())
            if (m_registry.isRemovalHeld(id))
                m_changes.onTarget(id, revision);
    };
    // Others were told of a removal that waits: they have to hear of the target's return, too.
    noteHeld();
    publish(m_registry.replaceAll(targets, Clock::now()), revision);
    noteHeld();
    armExpiry();
    if (!std::exchange(m_hasListed, true)) {
        m_picker.setHasState();
        m_sinks.onListed();
        if (m_members)
            m_members->startServing();
    }
    answerPeers();
}

void RegistryDuty::onAnswer()
{
    if (!m_follower.takeIsBack())
        return;
    const Clock::time_point now = Clock::now();
    m_registry.onStoreBack(now);
    logEvent(LogLevel::Info, "store_regained",
             {{"away_ms", std::to_string(wholeMilliseconds(now - m_awaySince).count())},
              {"revision", std::to_string(m_follower.revision())}});
}

void RegistryDuty::onFailure(const std::string &why)
{
    const Clock::time_point now = Clock::now();
    if (!m_follower.isAway()) {
        m_awaySince = now;
        logEvent(LogLevel::Warning, "store_lost",
                 {{"why", why}, {"revision", std::to_string(m_follower.revision())}});
    }
    const StoreStep step = m_follower.onFailure();
    // Watchers notice first that the store is back; the others hear of it from them.
    const milliseconds delay = std::get<WaitBeforeNext>(step).delay;
    m_picker.onFailed(FromStore{},
                      now + (m_picker.isWatcher() ? delay : std::max(delay, PeerAvoidance)));
    m_asking.reset();
    askNext();
}

void RegistryDuty::askPeer(const VmId &vm)
{
    wire::StatePullT pull;
    pull.sequence = ++m_pullSequence;
    pull.after_revision = m_hasListed ? m_follower.revision() : 0;
    pull.wait_ms = static_cast<std::uint32_t>(FollowedWait.count());
    m_pullTimer.expires_after(m_hasListed ? FollowedWait + PeerSlack : FirstAnswerPatience);
    m_pullTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            onPeerFailure("timeout");
    });
    m_sinks.sendToVm(vm, makeFrame(pull));
}

void RegistryDuty::onPeerFailure(const char *why)
{
    if (!m_asking || !std::holds_alternative<FromPeer>(*m_asking))
        return;
    m_metrics.peerReads.Add({{"outcome", "failed"}}).Increment();
    // In an outage every VM's knowledge grows old: only who is left is told.
    logEvent(m_lastSource == m_asking ? LogLevel::Info : LogLevel::Debug, "peer_not_followed",
             {{"peer", nameOf(*m_asking)}, {"why", why}});
    m_pullTimer.cancel();
    // What comes after this is not awaited any more.
    ++m_pullSequence;
    m_picker.onFailed(*m_asking, Clock::now() + PeerAvoidance);
    m_asking.reset();
    askNext();
}

void RegistryDuty::onPeerState(wire::StateReplyT &reply)
{
    if (!m_asking || !std::holds_alternative<FromPeer>(*m_asking)
        || reply.sequence != m_pullSequence)
        return;
    PeerState state = fromWire(reply);
    const bool isFresh = state.revision != 0 && state.age < FreshFor;
    const StoreSource source = *m_asking;
    takePeerState(std::move(state));
    if (!isFresh) {
        onPeerFailure("its knowledge is old");
        return;
    }
    m_pullTimer.cancel();
    m_metrics.peerReads.Add({{"outcome", "ok"}}).Increment();
    m_picker.onAnswered(source, Clock::now());
    noteSource(source);
    m_asking.reset();
    askNext();
}

void RegistryDuty::takePeerState(PeerState state)
{
    const Clock::time_point now = Clock::now();
    if (state.revision == 0 || (m_hasListed && state.revision < m_follower.revision()))
        return;
    hear(now - state.age);
    if (state.removalsWait.count() > 0)
        m_registry.holdRemovals(now + state.removalsWait);
    if (!state.configuration.empty()) {
        const auto document = m_adapter.parseConfiguration(state.configuration);
        if (document)
            takeConfiguration(*document, state.configuration, state.revision);
        else
            logEvent(LogLevel::Warning, "entry_rejected",
                     {{"key", "configuration"}, {"why", document.error()}});
    }
    m_follower.skipTo(state.revision);
    if (state.isWhole) {
        replaceTargets(state.targets, state.revision);
        return;
    }
    for (const RegisteredTarget &target : state.targets)
        putTarget(target, state.revision);
    for (const TargetId &id : state.gone)
        removeTarget(id, state.revision);
    armExpiry();
    answerPeers();
}

void RegistryDuty::take(const StoreEntry &entry, std::uint64_t revision)
{
    std::visit(Overloaded{[&](const RoutingDocument &document) {
                              takeConfiguration(document, entry.configuration, revision);
                          },
                          [&](const RegisteredTarget &target) { putTarget(target, revision); },
                          [&](const UnreadableEntry &unreadable) {
                              logEvent(LogLevel::Warning, "entry_rejected",
                                       {{"key", entry.key}, {"why", unreadable.why}});
                              if (!entry.targetId.empty())
                                  removeTarget(entry.targetId, revision);
                          },
                          [&](const RemovedEntry &) {
                              if (!entry.targetId.empty())
                                  removeTarget(entry.targetId, revision);
                          }},
               entry.value);
    armExpiry();
}

void RegistryDuty::takeConfiguration(const RoutingDocument &document, const std::string &bytes,
                                     std::uint64_t revision)
{
    if (m_routing && document.version <= m_routing->version())
        return;
    m_routing = std::make_shared<const RoutingTable>(document);
    m_configuration = bytes;
    m_changes.onConfiguration(revision);
    logEvent(LogLevel::Info, "configuration_adopted",
             {{"version", std::to_string(document.version)},
              {"routes", std::to_string(document.routes.size())},
              {"source", m_asking ? nameOf(*m_asking) : "store"}});
    m_sinks.onRouting(m_routing);
}

void RegistryDuty::putTarget(const RegisteredTarget &target, std::uint64_t revision)
{
    // Also where nothing changes for this VM: another may have been told that the target is gone.
    m_changes.onTarget(target.id, revision);
    publish(m_registry.put(target), revision);
}

void RegistryDuty::removeTarget(const TargetId &id, std::uint64_t revision)
{
    m_changes.onTarget(id, revision);
    publish(m_registry.remove(id, Clock::now()), revision);
}

void RegistryDuty::noteSource(const StoreSource &source)
{
    if (m_lastSource == source)
        return;
    m_lastSource = source;
    logEvent(LogLevel::Info, "state_source",
             {{"source", nameOf(source)},
              {"revision", std::to_string(m_follower.revision())},
              {"watcher", m_picker.isWatcher() ? "true" : "false"}});
}

void RegistryDuty::hear(Clock::time_point at)
{
    m_heardAt = std::max(m_heardAt, at);
}

void RegistryDuty::publish(std::vector<RegistryChange> changes, std::uint64_t revision)
{
    if (changes.empty())
        return;
    for (const RegistryChange &change : changes)
        std::visit(
            Overloaded{
                [&](const TargetListed &listed) { m_changes.onTarget(listed.target.id, revision); },
                [&](const TargetDelisted &delisted) { m_changes.onTarget(delisted.id, revision); }},
            change);
    m_sinks.onTargets(std::move(changes));
}

void RegistryDuty::armExpiry()
{
    const auto next = m_registry.nextExpiry();
    if (!next)
        return;
    m_expiryTimer.expires_at(*next);
    m_expiryTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            publish(m_registry.expire(Clock::now()), m_follower.revision());
    });
}

PeerState RegistryDuty::stateAfter(std::uint64_t revision) const
{
    PeerState state;
    if (!m_hasListed)
        return state;
    const Clock::time_point now = Clock::now();
    state.revision = m_follower.revision();
    state.age = wholeMilliseconds(now - m_heardAt);
    state.removalsWait =
        std::max(wholeMilliseconds(m_registry.removalsHeldUntil() - now), milliseconds(0));
    state.isWhole = !m_changes.covers(revision);
    if (state.isWhole || m_changes.isConfigurationAfter(revision))
        state.configuration = m_configuration;
    const auto &targets = m_registry.targets();
    if (state.isWhole) {
        for (const auto &[id, target] : targets)
            if (!m_registry.isRemovalHeld(id))
                state.targets.push_back(target);
        return state;
    }
    for (const TargetId &id : m_changes.targetsAfter(revision)) {
        const auto it = targets.find(id);
        if (it != targets.end() && !m_registry.isRemovalHeld(id))
            state.targets.push_back(it->second);
        else
            state.gone.push_back(id);
    }
    return state;
}

void RegistryDuty::answer(const PeerQuestion &question)
{
    m_sinks.sendOnLink(question.link,
                       makeFrame(toWire(stateAfter(question.afterRevision), question.sequence)));
}

void RegistryDuty::answerPeers()
{
    if (m_hasListed)
        m_questions.onRevision(m_follower.revision());
}

std::string RegistryDuty::stateJson() const
{
    nlohmann::json state;
    state["revision"] = m_follower.revision();
    state["store_away"] = m_follower.isAway();
    state["source"] = m_lastSource ? nameOf(*m_lastSource) : "";
    state["watcher"] = m_picker.isWatcher();
    state["heard_ms_ago"] = wholeMilliseconds(Clock::now() - m_heardAt).count();
    state["peers_waiting"] = m_questions.size();
    if (m_members)
        state["members"] = m_members->stateJson();
    state["config_version"] = m_routing ? m_routing->version() : 0;
    state["held_removals"] = m_registry.heldRemovals();
    for (const auto &[id, target] : m_registry.targets())
        state["targets"][id] = {{"service", target.service},
                                {"address", target.address},
                                {"failure_domain", target.failureDomain},
                                {"draining", target.isDraining}};
    return state.dump();
}

} // namespace mangoshift
