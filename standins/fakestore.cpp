// A stand-in for the platform's store: items, listings in pages and watches, as the platform's
// page has them. A second port takes the tests' orders:
//
//     PUT /item?KEY     writes the body under KEY
//     DELETE /item?KEY  removes it
//     POST /mode        "ok", "down" (503 to all), "silent" (no answers), "forget" (drops history)

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

std::string parameter(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=", target.find('?'));
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

HttpResponse responseOf(int status, const Json &body = nullptr)
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
        , m_readers(io, 256, events(&FakeStore::onRead))
        , m_orders(io, 64, events(&FakeStore::onOrder))
    {
    }

    bool listen(const Address &readers, const Address &orders)
    {
        return m_readers.listen(readers) && m_orders.listen(orders);
    }

private:
    using Handler = void (FakeStore::*)(const CallerConnectionPtr &, const HttpRequest &);

    struct Change
    {
        std::uint64_t revision;
        std::string key;
        Json event;
    };
    struct Watch
    {
        CallerConnectionPtr connection;
        std::uint64_t after;
        std::string prefix;
        asio::basic_waitable_timer<Clock> timer;
    };

    CallerEvents events(Handler handler)
    {
        CallerEvents events;
        events.onRequest = [this, handler](const CallerConnectionPtr &connection,
                                           const HttpRequest &request) {
            (this->*handler)(connection, request);
        };
        events.onCallerDisconnected = [this](const CallerConnectionPtr &connection) {
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
            connection->respond(responseOf(503));
        else if (request.target.starts_with("/api/kv-range"))
            connection->respond(responseOf(200, range(request.target)));
        else if (request.target.starts_with("/api/kv-watch"))
            watch(connection, request.target);
        else
            connection->respond(responseOf(404));
    }

    Json range(const std::string &target) const
    {
        const std::string prefix = parameter(target, "prefix");
        const std::string after = parameter(target, "after");
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

    void watch(const CallerConnectionPtr &connection, const std::string &target)
    {
        const std::uint64_t after = std::stoull(parameter(target, "after"));
        const std::chrono::milliseconds wait(std::stoll(parameter(target, "wait_ms")));
        Watch &watch = m_watches.emplace_back(Watch{connection, after, parameter(target, "prefix"),
                                                    asio::basic_waitable_timer<Clock>(m_io, wait)});
        if (answerIfDue(watch, false)) {
            m_watches.pop_back();
            return;
        }
        watch.timer.async_wait([this, connection](const asio::error_code &error) {
            if (error)
                return;
            for (auto it = m_watches.begin(); it != m_watches.end(); ++it)
                if (it->connection == connection) {
                    answerIfDue(*it, true);
                    m_watches.erase(it);
                    return;
                }
        });
    }

    bool answerIfDue(const Watch &watch, bool isOver)
    {
        if (watch.after < m_oldest) {
            if (isOver)
                watch.connection->respond(responseOf(410));
            return isOver;
        }
        Json events = Json::array();
        for (const Change &change : m_history)
            if (change.revision > watch.after && change.key.starts_with(watch.prefix))
                events.push_back(change.event);
        if (events.empty() && !isOver)
            return false;
        watch.connection->respond(
            responseOf(200, {{"events", events}, {"current_rev", m_revision}}));
        return true;
    }

    void onOrder(const CallerConnectionPtr &connection, const HttpRequest &request)
    {
        const std::string key = request.target.substr(request.target.find('?') + 1);
        if (request.method == "PUT")
            put(key, request.body);
        else if (request.method == "DELETE")
            remove(key);
        else
            setMode(request.body);
        connection->respond(responseOf(200, {{"revision", m_revision}}));
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
        record(key, item);
    }

    void remove(const std::string &key)
    {
        if (m_items.erase(key) == 0)
            return;
        ++m_revision;
        record(key, {{"key", key}, {"revision", m_revision}, {"deleted", true}});
    }

    void record(const std::string &key, const Json &event)
    {
        m_history.push_back({m_revision, key, event});
        m_watches.remove_if([this](const Watch &watch) { return answerIfDue(watch, false); });
    }

    void setMode(const std::string &mode)
    {
        if (mode == "forget") {
            m_history.clear();
            m_oldest = m_revision + 1;
        } else {
            m_mode = mode;
        }
        std::list<Watch> cut;
        cut.swap(m_watches);
        for (const Watch &watch : cut)
            watch.connection->close();
    }

    asio::io_context &m_io;
    std::string m_mode = "ok";
    std::uint64_t m_revision = 100;
    /// Watches from before this revision have missed changes.
    std::uint64_t m_oldest = 0;
    std::map<std::string, Json> m_items;
    std::deque<Change> m_history;
    std::list<Watch> m_watches;
    CallerListener m_readers;
    CallerListener m_orders;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fputs("Usage: fakestore STORE-ADDRESS ORDERS-ADDRESS\n", stderr);
        return 2;
    }
    const auto readers = parseAddress(argv[1]);
    const auto orders = parseAddress(argv[2]);
    asio::io_context io;
    FakeStore store(io);
    if (!readers || !orders || !store.listen(*readers, *orders)) {
        std::fputs("fakestore: an address cannot be listened on\n", stderr);
        return 3;
    }
    io.run();
    return 0;
}
