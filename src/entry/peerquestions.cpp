#include "entry/peerquestions.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// Several times the VMs of a failure domain at the size to design for: 540 VMs in 7 domains.
constexpr std::size_t MaxQuestions = 512;

} // namespace

PeerQuestions::PeerQuestions(asio::io_context &io, Answer answer)
    : m_answer(std::move(answer))
    , m_timer(io)
{
}

void PeerQuestions::add(const PeerQuestion &question)
{
    if (m_questions.size() >= MaxQuestions) {
        m_answer(m_questions.front());
        m_questions.erase(m_questions.begin());
    }
    m_questions.push_back(question);
    arm();
}

void PeerQuestions::onRevision(std::uint64_t revision)
{
    const auto isNews = [revision](const PeerQuestion &each) {
        return each.afterRevision < revision;
    };
    for (const PeerQuestion &question : m_questions)
        if (isNews(question))
            m_answer(question);
    std::erase_if(m_questions, isNews);
}

void PeerQuestions::onLinkLost(LinkId link)
{
    std::erase_if(m_questions, [link](const PeerQuestion &each) { return each.link == link; });
}

void PeerQuestions::arm()
{
    if (m_questions.empty())
        return;
    const auto first = std::min_element(
        m_questions.begin(), m_questions.end(),
        [](const PeerQuestion &a, const PeerQuestion &b) { return a.answerBy < b.answerBy; });
    if (m_timer.expiry() == first->answerBy)
        return;
    m_timer.expires_at(first->answerBy);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            answerDue();
    });
}

void PeerQuestions::answerDue()
{
    const Clock::time_point now = Clock::now();
    const auto isDue = [now](const PeerQuestion &each) { return each.answerBy <= now; };
    for (const PeerQuestion &question : m_questions)
        if (isDue(question))
            m_answer(question);
    std::erase_if(m_questions, isDue);
    arm();
}

} // namespace mangoshift
