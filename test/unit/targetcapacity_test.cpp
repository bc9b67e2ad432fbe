#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/targetcapacity.h"
#include "mangoshift/targetload.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1000s};

/// How the VMs choose targets and what they know of them.
struct Rule
{
    std::string name;
    bool learns = false;
    /// How many of the targets are compared; zero for a random choice among all.
    std::size_t sampled = 0;
    /// The power of the cost by which the weight of a target falls.
    double power = 2.0;
    /// Knows the true speed and load of each target.
    bool isOracle = false;
};

const Rule Today{"today"};
const Rule Learned{"learned", true};
const Rule Oracle{"oracle", false, 0, 2.0, true};

struct ModelTarget
{
    std::uint32_t slots = 2;
    double speed = 1.0;
    /// The number of running requests beyond which each one slows down.
    double knee = 2.0;
    std::chrono::milliseconds pause{0};
    std::chrono::milliseconds pausePeriod{5000};
    /// For 0.6 s at a time, 15 % of the time, work takes 2.5 times as long.
    bool isNoisy = false;
    /// From this time on, in ms, `speed` is multiplied by `changeFactor`.
    int changesAt = 1 << 30;
    int changesBackAt = 1 << 30;
    double changeFactor = 1.0;
    double lossRate = 0.0;
};

struct Scene
{
    std::string name;
    std::vector<ModelTarget> targets;
    std::size_t vms = 4;
    /// The offered load as a share of the true capacity.
    double load = 0.6;
    int ms = 20'000;
};

struct Result
{
    double inTime = 0.0;
    /// Work done as a share of the true capacity.
    double use = 0.0;
    /// How often a VM changed its limit of a target, for each second, target and VM.
    double limitChanges = 0.0;
    /// The share of the requests that the first target got, in each half second.
    std::vector<double> shareOfFirst;
    /// The largest share of the requests of 0.1 s that went to one target, as a mean.
    double crowding = 0.0;
};

/// Requests of several VMs to a few targets, in steps of 1 ms. Requests need 15 ms or 45 ms of
/// work.
class Simulation
{
public:
    Simulation(const Scene &scene, const Rule &rule, unsigned seed)
        : m_scene(scene)
        , m_rule(rule)
        , m_random(seed)
        , m_servers(scene.targets.size())
        , m_queues(scene.vms)
    {
        for (std::size_t t = 0; t < scene.targets.size(); ++t)
            m_servers[t].phase = static_cast<int>(m_random() % 60'000);
        for (std::size_t v = 0; v < scene.vms; ++v)
            for (const ModelTarget &target : scene.targets) {
                m_loads.emplace_back(target.slots);
                m_loads.back().setLearnsCapacity(rule.learns);
            }
    }

    Result run()
    {
        double capacity = 0.0;
        for (const ModelTarget &each : m_scene.targets)
            capacity += each.speed * std::min<double>(each.knee, each.slots);
        std::poisson_distribution<int> arrivals(m_scene.load * capacity / MeanWork);
        std::vector<std::uint32_t> limits(m_loads.size(), 1);
        for (m_ms = 0; m_ms < m_scene.ms; ++m_ms) {
            for (int i = arrivals(m_random); i > 0; --i)
                m_queues[m_random() % m_scene.vms].push_back(
                    {m_ms, m_random() % 3 == 0 ? 3 * Work : Work});
            for (std::size_t t = 0; t < m_servers.size(); ++t)
                work(t);
            for (std::size_t v = 0; v < m_scene.vms; ++v)
                send(v);
            for (std::size_t i = 0; i < m_loads.size(); ++i)
                if (m_loads[i].limit() != std::exchange(limits[i], m_loads[i].limit()))
                    ++m_limitChanges;
            if (m_ms % 500 == 499) {
                m_result.shareOfFirst.push_back(share(0, m_halfSecondSends));
                m_halfSecondSends.assign(m_servers.size(), 0);
            }
            if (m_ms % 100 == 99) {
                double most = 0.0;
                for (std::size_t t = 0; t < m_servers.size(); ++t)
                    most = std::max(most, share(t, m_shortSends));
                m_result.crowding += most * 100.0 / m_scene.ms;
                m_shortSends.assign(m_servers.size(), 0);
            }
        }
        m_result.inTime = m_inTime / std::max(m_ended, 1.0);
        m_result.use = m_workInTime / (capacity * m_scene.ms);
        m_result.limitChanges =
            m_limitChanges * 1000.0 / m_scene.ms / static_cast<double>(m_loads.size());
        return m_result;
    }

private:
    static constexpr double Work = 15.0;
    static constexpr double MeanWork = Work * 5.0 / 3.0;
    /// The latency target relative to the work, as in the users' deployments.
    static constexpr double LatencyTarget = 8.0;
    static constexpr double OverdueAfter = 3.0;

    struct Request
    {
        int arrivedAt = 0;
        double work = Work;
        std::size_t vm = 0;
        int sentAt = 0;
        double left = 0.0;
        bool isOverdue = false;
        bool isLost = false;
    };
    struct Server
    {
        int phase = 0;
        std::vector<Request> running;
        std::deque<Request> waiting;
        std::vector<Request> lost;
    };

    Clock::time_point now() const { return Start + std::chrono::milliseconds(m_ms); }
    TargetLoad &load(std::size_t vm, std::size_t target)
    {
        return m_loads[vm * m_servers.size() + target];
    }
    static double share(std::size_t of, const std::vector<int> &sends)
    {
        double total = 0.0;
        for (const int each : sends)
            total += each;
        return total > 0.0 ? sends[of] / total : 0.0;
    }
    double speed(std::size_t t) const
    {
        const ModelTarget &target = m_scene.targets[t];
        const int at = m_ms + m_servers[t].phase;
        if (at % target.pausePeriod.count() < target.pause.count())
            return 0.0;
        const bool isChanged = m_ms >= target.changesAt && m_ms < target.changesBackAt;
        const bool isDisturbed = target.isNoisy && at % 4000 < 600;
        return target.speed * (isChanged ? target.changeFactor : 1.0) / (isDisturbed ? 2.5 : 1.0);
    }
    void end(const Request &request, bool isAnswered)
    {
        ++m_ended;
        if (!isAnswered || m_ms - request.arrivedAt > LatencyTarget * request.work)
            return;
        ++m_inTime;
        m_workInTime += request.work;
    }
    void work(std::size_t t)
    {
        Server &server = m_servers[t];
        const ModelTarget &target = m_scene.targets[t];
        while (!server.waiting.empty() && server.running.size() < target.slots) {
            server.running.push_back(server.waiting.front());
            server.waiting.pop_front();
        }
        const double crowd =
            std::max(1.0, static_cast<double>(server.running.size()) / target.knee);
        const double progress = speed(t) / std::pow(crowd, 1.5);
        for (Request &each : server.running)
            each.left -= progress;
        const auto reviewOverdue = [&](Request &each) {
            const double usual = OverdueAfter * each.work;
            if (m_ms - each.sentAt < usual || std::exchange(each.isOverdue, true))
                return;
            load(each.vm, t).onOverdue(toDuration(usual), now());
        };
        std::for_each(server.running.begin(), server.running.end(), reviewOverdue);
        std::for_each(server.waiting.begin(), server.waiting.end(), reviewOverdue);
        std::erase_if(server.running, [&](Request &each) {
            if (each.left > 0.0)
                return false;
            if (each.isLost) {
                load(each.vm, t).onLost(now());
            } else {
                load(each.vm, t)
                    .onAnswered(std::chrono::milliseconds(m_ms - each.sentAt + 1),
                                toDuration(each.work), now());
            }
            end(each, !each.isLost);
            return true;
        });
    }
    static Clock::duration toDuration(double ms)
    {
        return std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double, std::milli>(ms));
    }
    std::optional<std::size_t> pick(std::size_t vm)
    {
        std::vector<std::size_t> open;
        std::vector<double> costs;
        for (std::size_t t = 0; t < m_servers.size(); ++t) {
            const Server &server = m_servers[t];
            const double busy = static_cast<double>(server.running.size() + server.waiting.size());
            if (m_rule.isOracle) {
                if (speed(t) <= 0.0 || busy + 1.0 > std::floor(m_scene.targets[t].knee))
                    continue;
                costs.push_back((busy + 1.0) / speed(t));
            } else {
                if (!load(vm, t).hasCapacity() || load(vm, t).isAvoided(now()))
                    continue;
                costs.push_back(load(vm, t).cost(now()));
            }
            open.push_back(t);
        }
        if (open.empty())
            return pickAvoided(vm);
        if (m_rule.isOracle)
            return open[std::min_element(costs.begin(), costs.end()) - costs.begin()];
        if (m_rule.sampled > 0) {
            std::size_t best = m_random() % open.size();
            for (std::size_t i = 1; i < m_rule.sampled; ++i)
                if (const std::size_t other = m_random() % open.size(); costs[other] < costs[best])
                    best = other;
            return open[best];
        }
        for (double &each : costs)
            each = std::pow(each, -m_rule.power);
        return open[std::discrete_distribution<std::size_t>(costs.begin(), costs.end())(m_random)];
    }
    /// Avoided targets get requests only if all targets are avoided.
    std::optional<std::size_t> pickAvoided(std::size_t vm)
    {
        std::vector<std::size_t> free;
        for (std::size_t t = 0; t < m_servers.size() && !m_rule.isOracle; ++t) {
            if (!load(vm, t).isAvoided(now()))
                return std::nullopt;
            if (load(vm, t).hasCapacity())
                free.push_back(t);
        }
        if (free.empty())
            return std::nullopt;
        return free[m_random() % free.size()];
    }
    void send(std::size_t vm)
    {
        std::deque<Request> &queue = m_queues[vm];
        while (!queue.empty()) {
            if (m_ms - queue.front().arrivedAt > LatencyTarget * queue.front().work) {
                end(queue.front(), false);
                queue.pop_front();
                continue;
            }
            const auto picked = pick(vm);
            if (!picked)
                return;
            Server &server = m_servers[*picked];
            const ModelTarget &target = m_scene.targets[*picked];
            load(vm, *picked).onSent();
            if (server.waiting.size() >= target.slots) {
                load(vm, *picked).onRefused(now());
                return;
            }
            Request request = queue.front();
            queue.pop_front();
            std::bernoulli_distribution isLost(target.lossRate);
            request.vm = vm;
            request.sentAt = m_ms;
            request.left = request.work;
            request.isLost = isLost(m_random);
            server.waiting.push_back(request);
            ++m_halfSecondSends[*picked];
            ++m_shortSends[*picked];
        }
    }

    const Scene &m_scene;
    const Rule &m_rule;
    std::mt19937 m_random;
    std::vector<Server> m_servers;
    std::vector<TargetLoad> m_loads;
    std::vector<std::deque<Request>> m_queues;
    std::vector<int> m_halfSecondSends = std::vector<int>(m_scene.targets.size(), 0);
    std::vector<int> m_shortSends = std::vector<int>(m_scene.targets.size(), 0);
    int m_ms = 0;
    double m_ended = 0.0;
    double m_inTime = 0.0;
    double m_workInTime = 0.0;
    int m_limitChanges = 0;
    Result m_result;
};

constexpr unsigned Seeds = 10;

std::vector<Result> runAll(const Scene &scene, const Rule &rule)
{
    std::vector<Result> results;
    for (unsigned seed = 1; seed <= Seeds; ++seed)
        results.push_back(Simulation(scene, rule, seed).run());
    return results;
}

double meanOf(const std::vector<Result> &results,
              const std::function<double(const Result &)> &value)
{
    double sum = 0.0;
    for (const Result &each : results)
        sum += value(each);
    return sum / static_cast<double>(results.size());
}

double inTime(const Result &result)
{
    return result.inTime;
}

/// Returns by how much the means of two rules on the same seeds differ by chance at most: two
/// standard errors.
double chance(const std::vector<Result> &a, const std::vector<Result> &b)
{
    const double mean = meanOf(a, inTime) - meanOf(b, inTime);
    double squares = 0.0;
    for (std::size_t i = 0; i < a.size(); ++i)
        squares += std::pow(a[i].inTime - b[i].inTime - mean, 2.0);
    const auto count = static_cast<double>(a.size());
    return 2.0 * std::sqrt(squares / (count - 1.0) / count);
}

std::vector<ModelTarget> targetsOf(const std::vector<double> &speeds, ModelTarget common = {})
{
    std::vector<ModelTarget> targets;
    for (const double speed : speeds) {
        targets.push_back(common);
        targets.back().speed = speed;
    }
    return targets;
}

ModelTarget withKnee(double share)
{
    ModelTarget target;
    target.slots = 10;
    target.knee = share * target.slots;
    return target;
}

ModelTarget disturbed(std::chrono::milliseconds pause, std::chrono::milliseconds period,
                      bool isNoisy)
{
    ModelTarget target;
    target.slots = 3;
    target.knee = 3.0;
    target.pause = pause;
    target.pausePeriod = period;
    target.isNoisy = isNoisy;
    return target;
}

/// One target that is `factor` times as fast from 5 s to 13 s.
Scene stepped(double factor)
{
    Scene scene{"speed of one x" + std::to_string(factor).substr(0, 4), targetsOf({1, 1, 1}), 4,
                0.5};
    scene.targets[0].changesAt = 5000;
    scene.targets[0].changesBackAt = 13'000;
    scene.targets[0].changeFactor = factor;
    return scene;
}

std::vector<Scene> scenes()
{
    ModelTarget lossy;
    lossy.lossRate = 0.02;
    std::vector<Scene> all{
        {"speeds 0.5 to 2", targetsOf({0.5, 1, 2}), 4, 0.7},
        {"andina", targetsOf({0.8, 1, 1.3}, disturbed(150ms, 3600ms, false)), 16, 0.5},
        {"quipu", targetsOf({1, 1, 1}, disturbed(250ms, 6000ms, true)), 16, 0.5},
        {"lost responses", targetsOf({1, 1, 1}, lossy), 4, 0.5},
        stepped(0.5),
        stepped(2.0),
        {"overload", targetsOf({1, 1, 1}), 8, 1.1},
        {"cold start", targetsOf({0.8, 1, 1.3}), 4, 0.7, 1000}};
    for (const double share : {0.3, 0.6, 0.9})
        all.push_back({"knee at " + std::to_string(share).substr(0, 3),
                       targetsOf({0.5, 1, 2}, withKnee(share)), 4, 0.7});
    for (const std::size_t vms : {1U, 4U, 64U})
        all.push_back({std::to_string(vms) + " VMs", targetsOf({0.5, 1, 1, 2, 2}), vms, 0.6});
    return all;
}

// Guards against a learned capacity that leaves more requests late than today's rule does, with
// targets of any speed and knee, and against a limit that alternates.
void compareWithToday(const Scene &scene)
{
    const auto today = runAll(scene, Today);
    const auto learned = runAll(scene, Learned);
    const auto oracle = runAll(scene, Oracle);
    INFO(scene.name << ": oracle " << meanOf(oracle, inTime));
    CHECK(meanOf(learned, inTime) >= meanOf(today, inTime) - chance(learned, today));
    const auto changes = [](const Result &each) { return each.limitChanges; };
    // Growing once from one to the slots is no alternation.
    const double growth = (scene.targets[0].slots - 1) * 1000.0 / scene.ms;
    CHECK(meanOf(learned, changes) <= meanOf(today, changes) + growth);
    const auto crowding = [](const Result &each) { return each.crowding; };
    CHECK(meanOf(learned, crowding)
          <= std::max(meanOf(today, crowding), meanOf(oracle, crowding)) * 1.05);
}

} // namespace

// Prints the figures of docs/design/target-capacity.md.
TEST_CASE("Figures of the rules by which targets are chosen", "[.figures]")
{
    const std::vector<Rule> rules{Today,
                                  Learned,
                                  {"learned, two sampled", true, 2},
                                  {"learned, power 1", true, 0, 1.0},
                                  {"learned, power 4", true, 0, 4.0},
                                  {"today, two sampled", false, 2},
                                  Oracle};
    std::vector<Scene> all = scenes();
    all.push_back(stepped(0.1));
    for (const Scene &scene : all)
        for (const Rule &rule : rules) {
            const auto results = runAll(scene, rule);
            std::printf("%-18s %-22s in time %.3f use %.3f changes %.2f crowding %.2f\n",
                        scene.name.c_str(), rule.name.c_str(), meanOf(results, inTime),
                        meanOf(results, [](const Result &each) { return each.use; }),
                        meanOf(results, [](const Result &each) { return each.limitChanges; }),
                        meanOf(results, [](const Result &each) { return each.crowding; }));
        }
}

TEST_CASE("Learned capacity serves no fewer requests in time than today's rule")
{
    for (const Scene &scene : scenes())
        compareWithToday(scene);
}

TEST_CASE("Learned capacity serves no fewer requests in time while a target is ten times slower")
{
    compareWithToday(stepped(0.1));
}

// Guards against evidence that outlives a change: the weights halve in 2 s, so two half-lives
// suffice.
TEST_CASE("A change of a target's speed is followed within two half-lives")
{
    const auto shareAt = [](const std::vector<Result> &results, int ms) {
        return meanOf(results, [ms](const Result &each) { return each.shareOfFirst.at(ms / 500); });
    };
    const auto slowed = runAll(stepped(0.1), Learned);
    CHECK(shareAt(slowed, 9000) < 0.5 * shareAt(slowed, 4500));
    CHECK(shareAt(slowed, 17'000) > 0.75 * shareAt(slowed, 4500));
    const auto quickened = runAll(stepped(2.0), Learned);
    CHECK(shareAt(quickened, 9000) > shareAt(quickened, 4500));
}

TEST_CASE("The slowness of a target is a decayed mean of logarithms")
{
    TargetCapacity capacity(2);
    CHECK(capacity.slowness(Start) == 1.0);
    CHECK(capacity.confidence(Start) == 0.0);

    SECTION("responses that a pause has delayed together count once")
    {
        TargetCapacity single(2);
        single.onAnswered(8.0, 1, Start);
        for (int i = 0; i < 5; ++i)
            capacity.onAnswered(8.0, 1, Start + i * 10ms);
        CHECK(capacity.slowness(Start + 1s) == Approx(single.slowness(Start + 1s)));
        CHECK(capacity.confidence(Start + 1s) == Approx(single.confidence(Start + 1s)));
    }
    SECTION("its evidence decays with time")
    {
        capacity.onAnswered(4.0, 1, Start);
        CHECK(capacity.slowness(Start) == Approx(2.0));
        CHECK(capacity.confidence(Start + TargetCapacity::HalfLife) == Approx(1.0 / 3.0));
        CHECK(capacity.slowness(Start + 1min) == Approx(1.0).margin(0.01));
    }
    SECTION("absurd latencies are bounded")
    {
        for (int i = 0; i < 100; ++i)
            capacity.onAnswered(i % 2 == 0 ? 1e9 : 0.0, 1, Start + i * 100ms);
        CHECK(capacity.slowness(Start + 10s) <= TargetCapacity::MaxSlowness);
        CHECK(capacity.slowness(Start + 10s) >= TargetCapacity::MinSlowness);
    }
}

TEST_CASE("The concurrency of a target is found between one and its slots")
{
    TargetCapacity capacity(4);
    Clock::time_point now = Start;
    const auto answer = [&](double ratio, int times) {
        for (int i = 0; i < times; ++i)
            capacity.onAnswered(ratio, capacity.concurrency(), now += 100ms);
    };
    CHECK(capacity.concurrency() == 1);
    // A target that is half as fast as usual, but keeps its latency, may use its slots.
    answer(2.0, 20);
    REQUIRE(capacity.concurrency() == 4);

    SECTION("one late interval costs one slot at most")
    {
        answer(16.0, 1);
        answer(2.0, 1);
        CHECK(capacity.concurrency() >= 3);
    }
    SECTION("it settles near the knee, and returns when that ends")
    {
        std::uint32_t sum = 0;
        for (int i = 0; i < 200; ++i) {
            answer(capacity.concurrency() > 2 ? 8.0 : 2.0, 1);
            sum += capacity.concurrency();
        }
        CHECK(sum / 200.0 >= 1.5);
        CHECK(sum / 200.0 <= 2.5);
        answer(2.0, 100);
        CHECK(capacity.concurrency() == 4);
    }
    SECTION("a refusal halves it, several at once no more than that")
    {
        for (int i = 0; i < 5; ++i)
            capacity.onRefused(now + i * 10ms);
        CHECK(capacity.concurrency() == 2);
    }
    SECTION("it grows from one for a target that returns")
    {
        capacity.resetConcurrency();
        CHECK(capacity.concurrency() == 1);
    }
}

TEST_CASE("A load that the target states is used for 300 ms")
{
    TargetCapacity capacity(4);
    capacity.onAnswered(1.0, 1, Start);
    capacity.onStatedLoad({2, 0, 4, 300.0}, Start);
    CHECK(capacity.slowness(Start + 299ms) == Approx(3.0));
    CHECK(capacity.confidence(Start) == 1.0);
    CHECK(capacity.slowness(Start + 300ms) == Approx(1.0));

    SECTION("requests that wait there make it slower")
    {
        capacity.onStatedLoad({4, 4, 4, std::nullopt}, Start);
        CHECK(capacity.slowness(Start) == Approx(2.0));
    }
    SECTION("an absurd statement is bounded")
    {
        capacity.onStatedLoad({0, 1'000'000, 1, 10'000.0}, Start);
        CHECK(capacity.slowness(Start) == TargetCapacity::MaxSlowness);
        capacity.onStatedLoad({0, 0, 1'000'000, 1.0}, Start);
        CHECK(capacity.slowness(Start) == TargetCapacity::MinSlowness);
        CHECK(capacity.concurrency() <= 4);
    }
}

// Guards against log events for each pause or slow phase of 0.6 s, and for a target that recovers
// and falls back in turn.
TEST_CASE("A target is slow once it has taken twice the usual latency for a second")
{
    TargetCapacity capacity(2);
    Clock::time_point now = Start;
    int changes = 0;
    const auto answer = [&](double ratio, Clock::duration time) {
        for (const auto end = now + time; now < end; now += 100ms) {
            capacity.onAnswered(ratio, 1, now);
            changes += capacity.updateSlow(now) ? 1 : 0;
        }
    };
    answer(1.0, 10s);
    for (int i = 0; i < 5; ++i) {
        answer(2.5, 600ms);
        answer(1.0, 3400ms);
    }
    CHECK(changes == 0);
    answer(10.0, 8s);
    CHECK(capacity.isSlow());
    answer(1.0, 12s);
    CHECK_FALSE(capacity.isSlow());
    CHECK(changes == 2);
}

TEST_CASE("A target's load uses the learned capacity only while that is switched on")
{
    TargetLoad load(4);
    const auto answer = [&load](Clock::time_point now) {
        load.onSent();
        load.onAnswered(40ms, 10ms, now);
    };
    answer(Start);
    CHECK(load.capacity() == nullptr);
    CHECK(load.slowness(Start) == Approx(1.6));
    load.onStatedLoad({0, 9, 1, 900.0}, Start);
    CHECK(load.slowness(Start) == Approx(1.6));

    load.setLearnsCapacity(true);
    CHECK(load.slowness(Start) == 1.0);
    answer(Start);
    CHECK(load.slowness(Start) == Approx(2.0));
    CHECK(load.cost(Start) == Approx(2.0));

    SECTION("a lost response is no evidence of slowness, and leaves one request at a time")
    {
        const double before = load.slowness(Start);
        load.onSent();
        load.onLost(Start);
        CHECK(load.slowness(Start) == before);
        CHECK(load.limit() == 1);
    }
    SECTION("switched off, today's rule goes on")
    {
        load.setLearnsCapacity(false);
        CHECK(load.slowness(Start) == Approx(2.08));
    }
}
