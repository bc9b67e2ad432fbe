// Stands in for the platform's store: serves items, paged listings and watches in the platform's
// format. A second address takes control requests of tests:
//
//     PUT /item?KEY     writes the body under KEY
//     DELETE /item?KEY  removes KEY
//     POST /mode        sets "ok", "down" (503 to all reads) or "silent" (no responses), or drops
//                       the history ("forget"); closes the connections of pending watches

#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include "http/callerlistener.h"
#include "mangoshift/clock.h"

namespace {

using namespace mangoshift;
using Json = nlohmann::json;

constexpr std::size_t PageItems = 50;

std::string toBase64(const std::string &bytes)
{
    namespace it = boost::archive::iterators;
    using Encoder = it::base64_from_binary<it::transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    return text.append((3 - bytes.size() % 3) % 3, '=');
}

std::string queryParameter(const std::string &target, const std::string &name)
{
    const std::size_t nameStart = target.find(name + "=", target.find('?'));
    if (nameStart == std::string::npos)
        return {};
    const std::size_t valueStart = nameStart + name.size() + 1;
    return target.substr(valueStart, target.find('&', valueStart) - valueStart);
}

HttpResponse makeResponse(int status, const Json &body = nullptr)
{
    HttpResponse response;
    response.status = status;
    if (!body.is_null())
        response.body = body.dump();
    return response;
}

class FakeStore
{
public:
    explicit FakeStore(asio::io_context &io)
        : m_io(io)
        , m_readListener(io, 256, makeEvents(&FakeStore::onRead))
        , m_controlListener(io, 64, makeEvents(&FakeStore::onControl))
    {
    }

    bool listen(const Address &readAddress, const Address &controlAddress)
    {
        return m_readListener.listen(readAddress) && m_controlListener.listen(controlAddress);
    }

private:
    using Handler = void (FakeStore::*)(const CallerConnectionPtr &, const HttpRequest &);

    /// An entry of the history.
    struct Change
    {
        std::uint64_t revision;
        std::string key;
        Json event;
    };
    /// A watch that has not been responded to.
    struct Watch
    {
        CallerConnectionPtr connection;
        std::uint64_t after;
        std::string prefix;
        asio::basic_waitable_timer<Clock> timer;
    };

    CallerEvents makeEvents(Handler handler)
    {
        CallerEvents events;
        events.onRequest = [this, handler](const CallerConnectionPtr &connection,
                                           const HttpRequest &request) {
            (this->*handler)(connection, request);
        };
        events.onCallerDisconnected = [this](const CallerConnectionPtr &connection,
                                             ConnectionEnd::Cause) {
            m_watches.remove_if(
                [&connection](const Watch &watch) { return watch.connection == connection; });
        };
        events.onRejected = [](int) {};
        return events;
    }

    void onRead(const CallerConnectionPtr &connection, const HttpRequest &request)
    {
        if (m_mode == "silent")
            return;
        if (m_mode == "down")
            connection->respond(makeResponse(503));
        else if (request.target.starts_with("/api/kv-range"))
            connection->respond(makeResponse(200, listItems(request.target)));
        else if (request.target.starts_with("/api/kv-watch"))
            addWatch(connection, request.target);
        else
            connection->respond(makeResponse(404));
    }

    Json listItems(const std::string &target) const
    {
        const std::string prefix = queryParameter(target, "prefix");
        const std::string after = queryParameter(target, "after");
        Json items = Json::array();
        for (auto it = m_items.upper_bound(after); it != m_items.end(); ++it) {
            if (!it->first.starts_with(prefix))
                continue;
            if (items.size() == PageItems)
                return {{"items", items}, {"truncated", true}, {"current_rev", m_revision}};
            items.push_back(it->second);
        }
        return {{"items", items}, {"truncated", false}, {"current_rev", m_revision}};
    }

    void addWatch(const CallerConnectionPtr &connection, const std::string &target)
    {
        const std::uint64_t after = std::stoull(queryParameter(target, "after"));
        const std::chrono::milliseconds wait(std::stoll(queryParameter(target, "wait_ms")));
        Watch &watch =
            m_watches.emplace_back(Watch{connection, after, queryParameter(target, "prefix"),
                                         asio::basic_waitable_timer<Clock>(m_io, wait)});
        if (respondIfDue(watch, false)) {
            m_watches.pop_back();
            return;
        }
        watch.timer.async_wait([this, connection](const asio::error_code &error) {
            if (error)
                return;
            for (auto it = m_watches.begin(); it != m_watches.end(); ++it)
                if (it->connection == connection) {
                    respondIfDue(*it, true);
                    m_watches.erase(it);
                    return;
                }
        });
    }

    /// Responds to a watch that has events or whose wait has ended. Returns whether it responded.
    bool respondIfDue(const Watch &watch, bool hasTimedOut)
    {
        if (watch.after < m_oldestRevision) {
            if (hasTimedOut)
                watch.connection->respond(makeResponse(410));
            return hasTimedOut;
        }
        Json events = Json::array();
        for (const Change &change : m_history)
            if (change.revision > watch.after && change.key.starts_with(watch.prefix))
                events.push_back(change.event);
        if (events.empty() && !hasTimedOut)
            return false;
        watch.connection->respond(
            makeResponse(200, {{"events", events}, {"current_rev", m_revision}}));
        return true;
    }

    void onControl(const CallerConnectionPtr &connection, const HttpRequest &request)
    {
        const std::string key = request.target.substr(request.target.find('?') + 1);
        if (request.method == "PUT")
            put(key, request.body);
        else if (request.method == "DELETE")
            remove(key);
        else
            setMode(request.body);
        connection->respond(makeResponse(200, {{"revision", m_revision}}));
    }

    void put(const std::string &key, const std::string &value)
    {
        ++m_revision;
        const Json item{{"key", key},
                        {"value", toBase64(value)},
                        {"revision", m_revision},
                        {"created", m_revision},
                        {"lease", 0}};
        m_items[key] = item;
        appendChange(key, item);
    }

    void remove(const std::string &key)
    {
        if (m_items.erase(key) == 0)
            return;
        ++m_revision;
        appendChange(key, {{"key", key}, {"revision", m_revision}, {"deleted", true}});
    }

    void appendChange(const std::string &key, const Json &event)
    {
        m_history.push_back({m_revision, key, event});
        m_watches.remove_if([this](const Watch &watch) { return respondIfDue(watch, false); });
    }

    void setMode(const std::string &mode)
    {
        if (mode == "forget") {
            m_history.clear();
            m_oldestRevision = m_revision + 1;
        } else {
            m_mode = mode;
        }
        std::list<Watch> closedWatches;
        closedWatches.swap(m_watches);
        for (const Watch &watch : closedWatches)
            watch.connection->close(ConnectionEnd::Cause::Stop);
    }

    asio::io_context &m_io;
    std::string m_mode = "ok";
    std::uint64_t m_revision = 100;
    /// The history before this revision is dropped: a watch after an older revision gets 410 when
    /// its wait ends.
    std::uint64_t m_oldestRevision = 0;
    std::map<std::string, Json> m_items;
    std::deque<Change> m_history;
    std::list<Watch> m_watches;
    CallerListener m_readListener;
    CallerListener m_controlListener;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fputs("Usage: fakestore STORE-ADDRESS CONTROL-ADDRESS\n", stderr);
        return 2;
    }
    const auto readAddress = parseAddress(argv[1]);
    const auto controlAddress = parseAddress(argv[2]);
    asio::io_context io;
    FakeStore store(io);
    if (!readAddress || !controlAddress || !store.listen(*readAddress, *controlAddress)) {
        std::fputs("fakestore: cannot listen on the given addresses\n", stderr);
        return 3;
    }
    io.run();
    return 0;
}
