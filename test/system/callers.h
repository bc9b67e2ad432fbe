#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "answers.h"
#include "deployment.h"

namespace mangoshift::testing {

/// One caller per VM, which queries this VM continuously and checks every answer for
/// contradictions.
class Callers
{
public:
    Callers(Deployment &deployment, const std::string &service)
    {
        for (const std::string &vm : deployment.vmNames())
            m_threads.emplace_back([this, &deployment, vm, service] {
                while (!m_isStopping) {
                    const auto sentAt = std::chrono::steady_clock::now();
                    const Deployment::Response response = deployment.query(vm, service);
                    check(vm, response, std::chrono::steady_clock::now() - sentAt);
                }
            });
    }
    ~Callers() { stop(); }

    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads)
            if (thread.joinable())
                thread.join();
    }

    /// Returns how many queries have ended, including those that were refused or got no response.
    std::size_t answerCount() const { return m_answerCount; }
    /// Returns how many of them did not get a complete answer.
    std::size_t incompleteCount() const { return m_incompleteCount; }
    /// Returns the responses to the first of these, and how long they took. Must be called after
    /// `stop`.
    const std::string &firstIncomplete() const { return m_firstIncomplete; }
    std::size_t inconsistentCount() const { return m_inconsistentCount; }

private:
    void check(const std::string &vm, const Deployment::Response &response,
               std::chrono::steady_clock::duration took)
    {
        ++m_answerCount;
        if (response.status != 200 || !isComplete(response.body)) {
            ++m_incompleteCount;
            const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
            const std::lock_guard lock(m_firstIncompleteMutex);
            if (m_firstIncomplete.size() < MaxIncompleteBytes)
                m_firstIncomplete += vm + " took_ms=" + std::to_string(ms)
                    + " status=" + std::to_string(response.status) + " " + response.body + "\n";
        }
        if (response.status == 200 && !findInconsistency(response.body).empty())
            ++m_inconsistentCount;
    }

    static constexpr std::size_t MaxIncompleteBytes = 10'000;

    std::mutex m_firstIncompleteMutex;
    std::string m_firstIncomplete;
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::size_t> m_answerCount{0};
    std::atomic<std::size_t> m_incompleteCount{0};
    std::atomic<std::size_t> m_inconsistentCount{0};
    std::vector<std::thread> m_threads;
};

/// Waits until `additional` further queries have ended. Returns false on a timeout.
inline bool waitForAnswers(const Callers &callers, std::size_t additional)
{
    const std::size_t goal = callers.answerCount() + additional;
    return eventually([&] { return callers.answerCount() >= goal; });
}

} // namespace mangoshift::testing
