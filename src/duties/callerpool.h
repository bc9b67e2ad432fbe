#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace mangoshift {

/// The threads that serve callers' connections, without a queue that could grow.
///
/// A connection that finds a free worker is served by it until it is closed. One that finds none
/// goes to a few refusing threads, on which handlers see `isRefusing` and answer at once that the
/// request was not run. Where these are busy too, the thread that accepts serves it in the same
/// way, so that further connections wait in the listening socket's own short queue.
class CallerPool : public httplib::TaskQueue
{
public:
    CallerPool(std::size_t workers, std::size_t refusingThreads);
    ~CallerPool() override;
    CallerPool(const CallerPool &) = delete;
    CallerPool &operator=(const CallerPool &) = delete;

    void enqueue(std::function<void()> serveConnection) override;
    void shutdown() override;

    /// Returns true on a thread that refuses what it reads.
    static bool isRefusing();

private:
    /// Threads and the connections that wait for them, never more than there are idle threads.
    struct ThreadGroup
    {
        std::deque<std::function<void()>> waiting;
        std::size_t idle = 0;
        std::condition_variable wake;
    };

    bool tryAssign(ThreadGroup &group, std::function<void()> &serveConnection);
    void run(ThreadGroup &group, bool isRefusing);

    std::mutex m_mutex;
    ThreadGroup m_workers;
    ThreadGroup m_refusingThreads;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace mangoshift
