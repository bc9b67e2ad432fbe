#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "duties/messages.h"

namespace mangoshift {

/// Another VM's question for the state of the store, which may wait for a change.
struct PeerQuestion
{
    LinkId link = LocalLink;
    std::uint64_t sequence = 0;
    std::uint64_t afterRevision = 0;
    Clock::time_point answerBy;
};

/// Keeps the questions of other VMs until there is something to tell, or their time has come. The
/// answers themselves come from the owner, on whose thread it runs.
class PeerQuestions
{
public:
    using Answer = std::function<void(const PeerQuestion &)>;

    PeerQuestions(asio::io_context &io, Answer answer);

    /// Keeps a question. One more than the limit takes the place of the oldest, which is answered.
    void add(const PeerQuestion &question);
    /// Answers all that were asked for a revision before this one.
    void onRevision(std::uint64_t revision);
    void onLinkLost(LinkId link);
    std::size_t size() const { return m_questions.size(); }

private:
    void arm();
    void answerDue();

    Answer m_answer;
    asio::basic_waitable_timer<Clock> m_timer;
    std::vector<PeerQuestion> m_questions;
};

} // namespace mangoshift
