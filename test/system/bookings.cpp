#include "bookings.h"

#include <sstream>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "base/address.h"

namespace mangoshift::testing {

namespace {

using Json = nlohmann::json;

constexpr const char *Service = "slot-booking";
constexpr const char *DeadlineMs = "200";
constexpr std::size_t TicketsPerRequest = 10;
constexpr int MaxSequentialSubmissions = 4;
constexpr std::chrono::milliseconds ConnectTimeout{200};
constexpr std::chrono::milliseconds ReadTimeout{500};

httplib::Client makeHttpClient(const std::string &address)
{
    const auto parsed = parseAddress(address);
    httplib::Client client(parsed->ip, parsed->port);
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(ReadTimeout);
    return client;
}

} // namespace

BookingLoad::BookingLoad(const Deployment &deployment, std::uint64_t count, std::size_t threads,
                         std::uint64_t seed)
    : m_ticketCount(count)
{
    for (const std::string &vm : deployment.vmNames())
        m_addresses.push_back(deployment.callerAddress(vm));
    for (std::size_t i = 0; i < threads; ++i)
        m_callers.emplace_back([this, seed, i] { runCaller(seed * 1000 + i); });
}

BookingLoad::~BookingLoad()
{
    finish();
}

const std::map<std::string, TicketOutcomes> &BookingLoad::finish()
{
    for (std::thread &caller : m_callers)
        if (caller.joinable())
            caller.join();
    return m_outcomes;
}

const std::string &BookingLoad::randomAddress(std::mt19937_64 &random) const
{
    return m_addresses[random() % m_addresses.size()];
}

void BookingLoad::runCaller(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!isDone()) {
        for (const std::string &ticket : fetchTickets(randomAddress(random))) {
            if (isDone())
                return;
            TicketOutcomes outcomes = submitWithRepeats(ticket, random);
            const std::lock_guard lock(m_mutex);
            m_outcomes.emplace(ticket, std::move(outcomes));
            ++m_processedTickets;
        }
    }
}

std::vector<std::string> BookingLoad::fetchTickets(const std::string &address)
{
    const std::string path =
        std::string("/v1/tickets/") + Service + "?count=" + std::to_string(TicketsPerRequest);
    const auto result = makeHttpClient(address).Post(path.c_str());
    if (!result || result->status != 200)
        return {};
    return Json::parse(result->body)["tickets"];
}

TicketOutcomes BookingLoad::submitWithRepeats(const std::string &ticket, std::mt19937_64 &random)
{
    TicketOutcomes outcomes;
    // Submits a quarter of the tickets twice at the same time, each time through a randomly chosen
    // VM.
    if (random() % 4 == 0) {
        TicketOutcomes duplicateOutcomes;
        std::thread duplicate([&, address = randomAddress(random)] {
            submitBooking(address, ticket, duplicateOutcomes);
        });
        submitBooking(randomAddress(random), ticket, outcomes);
        duplicate.join();
        if (!duplicateOutcomes.result.empty() && !outcomes.result.empty()
            && duplicateOutcomes.result != outcomes.result)
            outcomes.hasConflictingResults = true;
        outcomes.ran += duplicateOutcomes.ran;
        outcomes.notRun += duplicateOutcomes.notRun;
        outcomes.mayHaveRun += duplicateOutcomes.mayHaveRun;
        outcomes.unanswered += duplicateOutcomes.unanswered;
    }
    for (int i = 0; i < MaxSequentialSubmissions; ++i) {
        const bool isDefinite = outcomes.ran + outcomes.notRun > 0;
        if (isDefinite && random() % 4 != 0)
            break;
        submitBooking(randomAddress(random), ticket, outcomes);
    }
    return outcomes;
}

void submitBooking(const std::string &address, const std::string &ticket, TicketOutcomes &outcomes)
{
    const httplib::Headers headers{{"Idempotency-Key", ticket}, {"Deadline-Ms", DeadlineMs}};
    const auto result = makeHttpClient(address).Post((std::string("/v1/submit/") + Service).c_str(),
                                                     headers, "{}", "application/json");
    const Json json = result ? Json::parse(result->body, nullptr, false) : Json();
    const std::string execution = json.is_object() ? json.value("execution", "") : "";
    if (execution == "ran") {
        ++outcomes.ran;
        const std::string text = json.value("result", Json()).dump();
        if (outcomes.result.empty())
            outcomes.result = text;
        outcomes.hasConflictingResults = outcomes.hasConflictingResults || outcomes.result != text;
    } else if (execution == "not_run") {
        ++outcomes.notRun;
    } else if (execution == "may_have_run") {
        ++outcomes.mayHaveRun;
    } else {
        ++outcomes.unanswered;
    }
}

std::string BookingAudit::toString() const
{
    std::ostringstream text;
    text << "tickets=" << tickets << " repeats=" << repeats << " answered_ran=" << answeredRan
         << " answered_not_run=" << answeredNotRun << " never_definite=" << neverDefinite
         << " target_runs=" << targetRuns << " ran_twice=" << ranTwice
         << " ran_though_not_run=" << falseNotRun << " not_run_though_ran=" << falseRan
         << " two_results=" << conflictingResults;
    return text.str();
}

BookingAudit auditBookings(Deployment &deployment,
                           const std::map<std::string, TicketOutcomes> &outcomes)
{
    std::map<std::string, std::uint64_t> runs;
    for (const Json &target :
         Json::parse(deployment.get(deployment.targetControl(), "/records").body))
        for (const auto &[ticket, count] : target["submissions"].items())
            runs[ticket] += count.get<std::uint64_t>();
    BookingAudit audit;
    for (const auto &[ticket, count] : runs) {
        audit.targetRuns += count;
        audit.ranTwice += count > 1 ? 1 : 0;
    }
    for (const auto &[ticket, ticketOutcomes] : outcomes) {
        const std::uint64_t count = runs.contains(ticket) ? runs.at(ticket) : 0;
        ++audit.tickets;
        audit.repeats += ticketOutcomes.ran + ticketOutcomes.notRun + ticketOutcomes.mayHaveRun
            + ticketOutcomes.unanswered - 1;
        audit.answeredRan += ticketOutcomes.ran > 0 ? 1 : 0;
        audit.answeredNotRun += ticketOutcomes.notRun > 0 ? 1 : 0;
        audit.neverDefinite += ticketOutcomes.ran + ticketOutcomes.notRun == 0 ? 1 : 0;
        audit.falseNotRun += ticketOutcomes.notRun > 0 && count > 0 ? 1 : 0;
        audit.falseRan += ticketOutcomes.ran > 0 && count == 0 ? 1 : 0;
        audit.conflictingResults += ticketOutcomes.hasConflictingResults ? 1 : 0;
    }
    return audit;
}

} // namespace mangoshift::testing
