#pragma once

#include <utility>

namespace mangoshift {

/// Calls a function when the scope is left, by an exception too. For what must go on whatever
/// happens, such as a timer that is armed again or the next read of a socket. While an exception is
/// under way the function must not throw another one.
template <typename Function>
class AtExit
{
public:
    explicit AtExit(Function function)
        : m_function(std::move(function))
    {
    }
    ~AtExit() noexcept(false) { m_function(); }
    AtExit(const AtExit &) = delete;
    AtExit &operator=(const AtExit &) = delete;

private:
    Function m_function;
};

} // namespace mangoshift
