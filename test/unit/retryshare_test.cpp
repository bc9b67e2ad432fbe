#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include "mangoshift/retryshare.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

constexpr RetryBudgetTerms Terms{0.2, 54.0, 10s};

/// Checks the budget from the arrivals of all VMs. First requests earn extra requests in the window
/// in which they arrive, and in the windows that end half a window and one window later.
class BudgetChecker
{
public:
    void onFirstRequest(Clock::time_point now) { m_firsts.push_back(now); }
    void onExtra(Clock::time_point now) { m_extras.push_back(now); }

    /// Returns whether the extra requests of the window that ends now are within the budget.
    bool isWithinBudget(Clock::time_point now)
    {
        trim(m_extras, now - Terms.window);
        trim(m_firsts, now - 2 * Terms.window);
        const double firsts = std::max({firstsUntil(now), firstsUntil(now - Terms.window / 2),
                                        firstsUntil(now - Terms.window)});
        return static_cast<double>(m_extras.size()) <= Terms.ratio * firsts + Terms.slack;
    }

private:
    static void trim(std::deque<Clock::time_point> &times, Clock::time_point oldest)
    {
        while (!times.empty() && times.front() <= oldest)
            times.pop_front();
    }
    double firstsUntil(Clock::time_point end) const
    {
        const auto from = std::upper_bound(m_firsts.begin(), m_firsts.end(), end - Terms.window);
        return static_cast<double>(std::upper_bound(from, m_firsts.end(), end) - from);
    }

    std::deque<Clock::time_point> m_firsts;
    std::deque<Clock::time_point> m_extras;
};

} // namespace

TEST_CASE("A share of the retry budget")
{
    const Clock::time_point start = Clock::time_point(1h);
    RetryShare share(Terms, 0.25);

    SECTION("starts with its share of the slack")
    {
        int sent = 0;
        while (share.trySpend(start))
            ++sent;
        CHECK(sent == 13);
    }
    SECTION("grows by the ratio with the first requests of three quarters of the window")
    {
        // Ten a second for twelve seconds.
        for (int i = 0; i < 120; ++i)
            share.onFirstRequest(start + i * 100ms);
        CHECK(share.remaining(start + 12s) == Approx(13.5 + 0.2 * 75).margin(1.1));
    }
    SECTION("does not earn from first requests that have only just arrived")
    {
        for (int i = 0; i < 100; ++i)
            share.onFirstRequest(start);
        CHECK(share.remaining(start) == Approx(13.5));
    }
    SECTION("is restored once the window has passed")
    {
        while (share.trySpend(start)) {
        }
        CHECK_FALSE(share.trySpend(start + 9s));
        CHECK_FALSE(share.trySpend(start + 10s));
        CHECK(share.trySpend(start + 11s));
    }
}

TEST_CASE("All VMs together stay within the retry budget without any message between them")
{
    // Invariant over random traffic: however it is spread over the VMs, their extra requests
    // together never exceed the budget.
    const auto seed = GENERATE(range(1U, 21U));
    std::mt19937 random(seed);
    constexpr std::size_t vms = 7;
    std::vector<RetryShare> shares(vms, RetryShare(Terms, 1.0 / vms));
    BudgetChecker checker;
    Clock::time_point now = Clock::time_point(1h);
    std::uniform_int_distribution<int> step(0, 20);
    std::uniform_int_distribution<std::size_t> vm(0, vms - 1);
    for (int i = 0; i < 20000; ++i) {
        now += std::chrono::milliseconds(step(random));
        // Traffic comes in waves, so that many first requests can leave the window at once.
        const bool isPeak = (now.time_since_epoch() / 7s) % 2 == 0;
        RetryShare &share = shares[vm(random)];
        if (isPeak && step(random) < 15) {
            share.onFirstRequest(now);
            checker.onFirstRequest(now);
        } else if (share.trySpend(now)) {
            checker.onExtra(now);
        }
        INFO("seed " << seed << ", event " << i);
        REQUIRE(checker.isWithinBudget(now));
    }
}
