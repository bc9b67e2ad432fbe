#include "faketarget/target.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>

namespace mangoshift {

namespace {

using asio::ip::tcp;
using Json = nlohmann::json;
using std::chrono::microseconds;

} // namespace

FakeTarget::FakeTarget(asio::io_context &io, const Target &target, Behaviour behaviour)
    : m_io(io)
    , m_target(target)
    , m_behaviour(behaviour)
    , m_acceptor(io)
    , m_random(std::hash<std::string>()(target.name))
{
}

void FakeTarget::start()
{
    if (m_acceptor.is_open())
        return;
    const Address address = *parseAddress(m_target.address);
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

void FakeTarget::shutDown()
{
    m_acceptor.close();
    closeConnections();
}

Json FakeTarget::recordJson() const
{
    return {{"queries_run", m_record.queriesRun},
            {"shed", m_record.shed},
            {"refused_draining", m_record.refusedDraining},
            {"most_running", m_record.mostRunning},
            {"cancelled", m_record.cancelled},
            {"connections", m_connections.size()},
            {"connections_opened", m_record.connectionsOpened},
            {"most_connections", m_record.mostConnections},
            {"connections_refused", m_record.connectionsRefused},
            {"submissions", m_record.submissions}};
}

void FakeTarget::accept()
{
    m_acceptor.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!error)
            admitConnection(std::move(socket));
        accept();
    });
}

void FakeTarget::closeConnections()
{
    for (const ConnectionPtr &connection : m_connections)
        connection->close();
}

void FakeTarget::admitConnection(tcp::socket socket)
{
    if (m_connections.size() >= m_target.connections) {
        ++m_record.connectionsRefused;
        return;
    }
    ++m_record.connectionsOpened;
    const auto connection = std::make_shared<ServedConnection>(
        std::move(socket), [this](const ConnectionPtr &from, HttpRequest request) {
            onRequest(from, std::move(request));
        });
    m_connections.insert(connection);
    m_record.mostConnections = std::max(m_record.mostConnections, m_connections.size());
    const auto timer = std::make_shared<asio::steady_timer>(m_io, m_behaviour.connectCost);
    timer->async_wait([this, timer, connection](asio::error_code) {
        connection->start([this, connection] {
            m_connections.erase(connection);
            m_silencedConnections.erase(connection);
        });
    });
}

void FakeTarget::onRequest(const ConnectionPtr &connection, HttpRequest request)
{
    if (m_behaviour.isSilent || m_silencedConnections.contains(connection))
        return;
    if (request.method == "DELETE") {
        cancel(request.target.substr(request.target.rfind('/') + 1));
        connection->respond(makeResponse(204));
        return;
    }
    if (request.target == "/healthz" || request.target == "/load") {
        HttpResponse response = makeResponse(m_behaviour.isDraining ? 503 : 200);
        if (m_behaviour.isDraining)
            response.headers.add("mangoshift-draining", "true");
        response.body = Json{{"slots", m_target.slots}, {"in_use", m_running.size()}}.dump();
        connection->respond(response);
        return;
    }
    const auto work = std::make_shared<Work>();
    work->connection = connection;
    if (!parsePath(request.target, *work)) {
        connection->respond(makeResponse(404));
        return;
    }
    const std::string text(request.headers.value("deadline-ms"));
    const auto deadlineMs = text.empty() ? 10000L : std::strtol(text.c_str(), nullptr, 10);
    work->deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(deadlineMs);
    work->request = std::move(request);
    admitWork(work);
}

bool FakeTarget::parsePath(const std::string &path, Work &work)
{
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    if (parts.size() != 6 || parts[1] != "services" || parts[3] != "shards")
        return false;
    work.service = parts[2];
    work.shard = parts[4];
    work.isSubmission = parts[5] == "submit";
    return true;
}

void FakeTarget::admitWork(const WorkPtr &work)
{
    if (m_behaviour.isDraining) {
        ++m_record.refusedDraining;
        refuse(work, 503, {{"mangoshift-draining", "true"}});
        return;
    }
    const std::string pinnedSnapshot(work->request.headers.value("mangoshift-snapshot"));
    const std::uint64_t snapshot = std::strtoull(pinnedSnapshot.c_str(), nullptr, 10);
    if (snapshot != 0
        && (snapshot < m_behaviour.oldestSnapshot || snapshot > m_behaviour.newestSnapshot)) {
        refuse(work, 409, {});
        return;
    }
    if (m_running.size() >= m_behaviour.shedThreshold) {
        ++m_record.shed;
        refuse(work, 503, {});
    } else if (m_running.size() < m_target.slots) {
        run(work);
    } else if (m_queue.size() < m_behaviour.queueLimit) {
        m_queue.push_back(work);
    } else {
        ++m_record.shed;
        refuse(work, 503, {{"retry-after", "1"}});
    }
}

bool FakeTarget::shouldInject(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>()(m_random) < probability;
}

void FakeTarget::run(const WorkPtr &work)
{
    if (work->isSubmission && shouldInject(m_behaviour.crashBeforeRun)) {
        work->connection->close();
        return;
    }
    m_running.insert(work);
    m_record.mostRunning = std::max(m_record.mostRunning, m_running.size());
    const std::string_view key = work->request.headers.value("idempotency-key");
    if (work->isSubmission)
        ++m_record.submissions[std::string(key.empty() ? work->request.headers.value("x-request-id")
                                                       : key)];
    else
        ++m_record.queriesRun;
    // Uniform between 0.5 and 1.5 times the mean.
    std::uniform_real_distribution<double> variation(0.5, 1.5);
    const microseconds time(
        static_cast<std::int64_t>(static_cast<double>(m_behaviour.serviceTime.count())
                                  * m_behaviour.slowFactor * variation(m_random)));
    const bool isStraggler = std::bernoulli_distribution(m_behaviour.stragglerShare)(m_random);
    const microseconds stragglerDelay = isStraggler ? m_behaviour.stragglerTime : microseconds(0);
    work->timer = std::make_shared<asio::steady_timer>(m_io, time + stragglerDelay);
    work->timer->async_wait([this, work](asio::error_code) { finish(work); });
}

void FakeTarget::finish(const WorkPtr &work)
{
    m_running.erase(work);
    work->timer.reset();
    if (work->isSubmission && shouldInject(m_behaviour.crashBeforeResponse))
        work->connection->close();
    else if (!work->isCancelled)
        respondTo(*work);
    startQueued();
}

void FakeTarget::respondTo(const Work &work)
{
    const std::string pinnedSnapshot(work.request.headers.value("mangoshift-snapshot"));
    const std::uint64_t requested = std::strtoull(pinnedSnapshot.c_str(), nullptr, 10);
    const std::uint64_t snapshot = requested == 0 ? m_behaviour.newestSnapshot : requested;
    HttpResponse response = makeResponse(200);
    response.headers.add("mangoshift-snapshot", std::to_string(snapshot));
    response.headers.add("content-type", "application/json");
    response.headers.add("x-call-id", std::string(work.request.headers.value("x-call-id")));
    response.body = Json::array({{{"shard", work.shard},
                                  {"snapshot", snapshot},
                                  {"target", m_target.name},
                                  {"request", work.request.headers.value("x-request-id")}}})
                        .dump();
    work.connection->respond(response);
}

void FakeTarget::startQueued()
{
    while (!m_queue.empty() && m_running.size() < m_target.slots) {
        const WorkPtr next = m_queue.front();
        m_queue.pop_front();
        if (next->isCancelled)
            continue;
        if (std::chrono::steady_clock::now() >= next->deadline) {
            refuse(next, 503, {});
            continue;
        }
        run(next);
    }
}

void FakeTarget::cancel(const std::string &callId)
{
    const auto cancelWork = [&](const WorkPtr &work) {
        if (work->request.headers.value("x-call-id") != callId || work->isSubmission
            || work->isCancelled)
            return;
        work->isCancelled = true;
        ++m_record.cancelled;
        HttpResponse response = makeResponse(409);
        response.headers.add("mangoshift-cancelled", "true");
        work->connection->respond(response);
        if (work->timer)
            work->timer->cancel(); // Ends the run now, which frees the slot.
    };
    for (const WorkPtr &work : m_queue)
        cancelWork(work);
    for (const WorkPtr &work : m_running)
        cancelWork(work);
}

HttpResponse FakeTarget::makeResponse(int status) const
{
    HttpResponse response;
    response.status = status;
    response.headers.add("mangoshift-snapshots",
                         std::to_string(m_behaviour.oldestSnapshot) + "-"
                             + std::to_string(m_behaviour.newestSnapshot));
    return response;
}

void FakeTarget::refuse(const WorkPtr &work, int status,
                        const std::vector<std::pair<std::string, std::string>> &headers)
{
    HttpResponse response = makeResponse(status);
    response.headers.add("mangoshift-verdict", "not-run");
    for (const auto &[name, value] : headers)
        response.headers.add(name, value);
    work->connection->respond(response);
}

} // namespace mangoshift
