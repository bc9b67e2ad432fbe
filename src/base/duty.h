#pragma once

#include <atomic>
#include <cstddef>
#include <exception>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include "base/boundedring.h"
#include "base/log.h"

namespace mangoshift {

/// The latest message of each kind: a tuple with an optional value for each type of the variant.
template <typename Message>
struct LatestMessages;
template <typename... Kinds>
struct LatestMessages<std::variant<Kinds...>>
{
    using Type = std::tuple<std::optional<Kinds>...>;
};

/// A thread with an event loop, a bounded ring of incoming messages, and the latest message of each
/// kind that describes a state.
///
/// `Message` is the variant of all messages that other threads may post to the duty. The handler
/// runs on the duty's thread only, so the duty's state needs no lock.
///
/// A message that would be missed for good if it were lost, such as a new configuration, is posted
/// with `postLatest`; every other message with `tryPost`, whose sender must cope with a full ring.
///
/// An exception that a handler lets out, or another function that runs on the event loop, is logged
/// as `duty_error` and counted. It ends only that function: one message that no one expected does
/// not take the process down. A function that is to run again must arrange that before it does
/// what may fail.
template <typename Message>
class Duty
{
public:
    using Handler = std::function<void(Message &)>;

    Duty(std::string name, std::size_t ringCapacity)
        : m_name(std::move(name))
        , m_ring(ringCapacity)
        , m_work(m_io.get_executor())
    {
    }
    ~Duty() { stop(); }
    Duty(const Duty &) = delete;
    Duty &operator=(const Duty &) = delete;

    void start(Handler handler)
    {
        m_handler = std::move(handler);
        m_thread = std::thread([this] { run(); });
    }

    /// Stops the event loop and joins the thread. Messages still in the ring are dropped.
    void stop()
    {
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    /// Posts a message to the duty. If the ring is full, returns false and increments the counter
    /// of rejected messages. May be called from any thread.
    template <typename T>
    bool tryPost(T &&value)
    {
        Message message(std::forward<T>(value));
        return tryPostMessage(message);
    }

    /// Like `tryPost`; leaves `message` unchanged if the ring is full.
    bool tryPostMessage(Message &message)
    {
        using Push = typename BoundedRing<Message>::Push;
        const Push push = m_ring.tryPush(message);
        if (push == Push::Full) {
            ++m_rejected;
            return false;
        }
        if (push == Push::First)
            asio::post(m_io, [this] { handleAll(); });
        return true;
    }

    /// Posts a message that replaces the one of the same kind which the duty has not handled yet.
    /// If the kind has a member `merge`, that is called instead, with the new message. Never
    /// rejected; handled before the messages that were posted to the ring later. May be called from
    /// any thread.
    template <typename Kind>
    void postLatest(Kind value)
    {
        {
            const std::lock_guard lock(m_latestMutex);
            std::optional<Kind> &held = std::get<std::optional<Kind>>(m_latest);
            if constexpr (requires { held->merge(std::move(value)); }) {
                if (!held)
                    held.emplace();
                held->merge(std::move(value));
            } else {
                held = std::move(value);
            }
            if (std::exchange(m_hasLatest, true))
                return;
        }
        asio::post(m_io, [this] { handleAll(); });
    }

    asio::io_context &io() { return m_io; }
    const std::string &name() const { return m_name; }
    std::size_t ringSize() const { return m_ring.size(); }
    std::size_t ringCapacity() const { return m_ring.capacity(); }
    /// Returns the number of messages that were rejected because the ring was full.
    std::size_t rejected() const { return m_rejected; }
    /// Returns the number of exceptions that were let out on the duty's thread.
    std::size_t errors() const { return m_errors; }

private:
    using Latest = typename LatestMessages<Message>::Type;

    void run()
    {
        // An exception leaves the event loop, which then goes on with the next function.
        while (!m_io.stopped())
            guard([this] { m_io.run(); });
    }
    template <typename Function>
    void guard(const Function &function)
    {
        try {
            function();
        } catch (const std::exception &error) {
            ++m_errors;
            logEvent(LogLevel::Error, "duty_error", {{"duty", m_name}, {"what", error.what()}});
        }
    }

    void handleLatest()
    {
        Latest latest;
        {
            const std::lock_guard lock(m_latestMutex);
            if (!std::exchange(m_hasLatest, false))
                return;
            latest = std::exchange(m_latest, Latest());
        }
        std::apply([this](auto &...each) { (this->handleIfPresent(each), ...); }, latest);
    }
    template <typename Kind>
    void handleIfPresent(std::optional<Kind> &held)
    {
        if (!held)
            return;
        Message message(std::move(*held));
        guard([&] { m_handler(message); });
    }

    void handleAll()
    {
        std::vector<Message> messages = m_ring.drain();
        // Taken after the messages, so that a state that was posted before one of them is handled
        // before it.
        handleLatest();
        for (Message &message : messages)
            guard([&] { m_handler(message); });
    }

    std::string m_name;
    BoundedRing<Message> m_ring;
    std::mutex m_latestMutex;
    Latest m_latest;
    bool m_hasLatest = false;
    asio::io_context m_io{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    Handler m_handler;
    std::atomic<std::size_t> m_rejected{0};
    std::atomic<std::size_t> m_errors{0};
    std::thread m_thread;
};

/// Combines lambdas into one visitor for `std::visit`.
template <typename... Ts>
struct Overloaded : Ts...
{
    using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace mangoshift
