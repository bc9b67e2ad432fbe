#pragma once

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace mangoshift {

/// A thread-safe ring buffer of fixed capacity with any number of writers and one reader.
///
/// Neither side waits for the other: pushing to a full ring fails, and the writer keeps its value;
/// draining an empty ring returns no values.
template <typename T>
class BoundedRing
{
public:
    enum class Push { Full, First, Queued };

    explicit BoundedRing(std::size_t capacity)
        : m_buffer(capacity)
    {
    }

    /// Moves `value` into the ring. If the ring is full, returns `Full` and leaves `value`
    /// unchanged. Returns `First` if the ring was empty before, so that the reader must be woken.
    Push tryPush(T &value)
    {
        const std::lock_guard lock(m_mutex);
        if (m_buffer.full())
            return Push::Full;
        const bool wasEmpty = m_buffer.empty();
        m_buffer.push_back(std::move(value));
        return wasEmpty ? Push::First : Push::Queued;
    }

    /// Removes and returns all values, oldest first.
    std::vector<T> drain()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<T> taken;
        taken.reserve(m_buffer.size());
        for (T &value : m_buffer)
            taken.push_back(std::move(value));
        m_buffer.clear();
        return taken;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_buffer.size();
    }
    std::size_t capacity() const { return m_buffer.capacity(); }

private:
    mutable std::mutex m_mutex;
    boost::circular_buffer<T> m_buffer;
};

} // namespace mangoshift
