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

/// The threads that serve callers' connections, without an unbounded queue.
///
/// A free worker serves a connection until it is closed. When no worker is free, one of a few
/// refusing threads serves it: on these threads `isRefusing` returns true, and handlers respond at
/// once that the request was not run. When these threads are busy too, the accepting thread refuses
/// the requests itself, so further connections wait in the short accept queue of the listening
/// socket.
class CallerPool : public httplib::TaskQueue
{
public:
    CallerPool(std::size_t workers, std::size_t refusingThreads);
    ~CallerPool() override;
    CallerPool(const CallerPool &) = delete;
    CallerPool &operator=(const CallerPool &) = delete;

    void enqueue(std::function<void()> serveConnection) override;
    void shutdown() override;

    /// Returns true on a thread that refuses every request it reads.
    static bool isRefusing();

private:
    /// Threads and the connections assigned to them but not yet picked up. There are never more
    /// such connections than idle threads.
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
