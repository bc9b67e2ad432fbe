#include "duties/callerpool.h"

#include <utility>

namespace mangoshift {

namespace {

thread_local bool isThreadRefusing = false;

} // namespace

CallerPool::CallerPool(std::size_t workers, std::size_t refusingThreads)
{
    m_workers.idle = workers;
    m_refusingThreads.idle = refusingThreads;
    for (std::size_t i = 0; i < workers; ++i)
        m_threads.emplace_back([this] { run(m_workers, false); });
    for (std::size_t i = 0; i < refusingThreads; ++i)
        m_threads.emplace_back([this] { run(m_refusingThreads, true); });
}

CallerPool::~CallerPool()
{
    shutdown();
}

bool CallerPool::isRefusing()
{
    return isThreadRefusing;
}

void CallerPool::enqueue(std::function<void()> serveConnection)
{
    {
        const std::lock_guard lock(m_mutex);
        if (tryAssign(m_workers, serveConnection) || tryAssign(m_refusingThreads, serveConnection))
            return;
    }
    // The task owns the socket and has to run, or else the socket is never closed.
    isThreadRefusing = true;
    serveConnection();
    isThreadRefusing = false;
}

void CallerPool::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_workers.wake.notify_all();
    m_refusingThreads.wake.notify_all();
    for (std::thread &thread : m_threads)
        if (thread.joinable())
            thread.join();
}

bool CallerPool::tryAssign(ThreadGroup &group, std::function<void()> &serveConnection)
{
    if (group.idle == 0)
        return false;
    --group.idle;
    group.waiting.push_back(std::move(serveConnection));
    group.wake.notify_one();
    return true;
}

void CallerPool::run(ThreadGroup &group, bool isRefusing)
{
    isThreadRefusing = isRefusing;
    std::unique_lock lock(m_mutex);
    for (;;) {
        group.wake.wait(lock, [&] { return !group.waiting.empty() || m_isStopping; });
        if (group.waiting.empty())
            return;
        const std::function<void()> serveConnection = std::move(group.waiting.front());
        group.waiting.pop_front();
        lock.unlock();
        serveConnection();
        lock.lock();
        ++group.idle;
    }
}

} // namespace mangoshift
