#include "mangoshift/clock.h"

#include <atomic>

namespace mangoshift {

namespace {

std::atomic<bool> isPaused{false};
std::atomic<Clock::rep> pausedTime{0};

Clock::rep monotonicNow()
{
    return std::chrono::duration_cast<Clock::duration>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

Clock::time_point Clock::now() noexcept
{
    if (isPaused.load(std::memory_order_acquire))
        return time_point(duration(pausedTime.load(std::memory_order_relaxed)));
    return time_point(duration(monotonicNow()));
}

PausedClock::PausedClock()
{
    pausedTime.store(monotonicNow(), std::memory_order_relaxed);
    isPaused.store(true, std::memory_order_release);
}

PausedClock::~PausedClock()
{
    isPaused.store(false, std::memory_order_release);
}

void PausedClock::advance(Clock::duration step)
{
    pausedTime.fetch_add(step.count(), std::memory_order_relaxed);
}

} // namespace mangoshift
