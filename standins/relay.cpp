// Stands in for the network between VMs: listens where a VM is said to be, over TCP and UDP, and
// carries bytes to where it really listens. A control address, which a real network does not have,
// blocks, cuts or delays what goes from one IP number to another, or lets the connections that
// stand go silent for good.

#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include "httplistener.h"

namespace {

using namespace mangoshift;
using asio::ip::tcp;
using asio::ip::udp;
using Json = nlohmann::json;

constexpr std::size_t BufferBytes = 64U << 10U;
/// How often bytes that are held back look whether they may go on.
constexpr std::chrono::milliseconds HeldInterval{5};

/// What happens to bytes on their way.
struct Passage
{
    /// Held until the rule is lifted, as TCP does while packets are lost; datagrams are dropped.
    bool isBlocked = false;
    /// Connections are reset and new ones refused; datagrams are dropped.
    bool isCut = false;
    std::chrono::milliseconds delay{0};
};

/// The rules in force: each for bytes from one IP number to another, `*` for any.
class Rules
{
public:
    void set(const Json &rules)
    {
        m_rules.clear();
        for (const Json &rule : rules)
            m_rules.push_back({rule.value("from", "*"),
                               rule.value("to", "*"),
                               {rule.value("mode", "") == "block", rule.value("mode", "") == "cut",
                                std::chrono::milliseconds(rule.value("delay_ms", 0))}});
    }

    Passage passage(const std::string &from, const std::string &to) const
    {
        for (const Rule &rule : m_rules)
            if ((rule.from == "*" || rule.from == from) && (rule.to == "*" || rule.to == to))
                return rule.passage;
        return {};
    }

private:
    struct Rule
    {
        std::string from;
        std::string to;
        Passage passage;
    };
    std::vector<Rule> m_rules;
};

/// One relayed TCP connection.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(const Rules &rules, tcp::socket caller, std::string callerIp, std::string calledIp)
        : m_forward{std::move(callerIp),
                    std::move(calledIp),
                    {},
                    asio::steady_timer(caller.get_executor())}
        , m_back{m_forward.to, m_forward.from, {}, asio::steady_timer(caller.get_executor())}
        , m_rules(rules)
        , m_caller(std::move(caller))
        , m_called(m_caller.get_executor())
    {
    }

    void start(const tcp::endpoint &to)
    {
        m_called.async_connect(to, [self = shared_from_this()](asio::error_code error) {
            if (error) {
                self->reset();
                return;
            }
            asio::error_code ignored;
            self->m_caller.set_option(tcp::no_delay(true), ignored);
            self->m_called.set_option(tcp::no_delay(true), ignored);
            self->read(self->m_forward, self->m_caller, self->m_called);
            self->read(self->m_back, self->m_called, self->m_caller);
        });
    }

    /// From now on bytes are taken and thrown away, for good.
    void goSilent() { m_isSilent = true; }

    bool isOpen() const { return m_caller.is_open(); }

    /// Resets the connection if a rule cuts it.
    void applyRules()
    {
        if (m_rules.passage(m_forward.from, m_forward.to).isCut
            || m_rules.passage(m_back.from, m_back.to).isCut)
            reset();
    }

private:
    struct Direction
    {
        std::string from;
        std::string to;
        std::array<char, BufferBytes> buffer;
        asio::steady_timer timer;
    };

    void read(Direction &direction, tcp::socket &source, tcp::socket &sink)
    {
        source.async_read_some(
            asio::buffer(direction.buffer),
            [&, self = shared_from_this()](asio::error_code error, std::size_t size) {
                if (error) {
                    if (!m_isSilent)
                        reset();
                    return;
                }
                const auto delay = m_rules.passage(direction.from, direction.to).delay;
                passLater(direction, source, sink, size, delay);
            });
    }

    void passLater(Direction &direction, tcp::socket &source, tcp::socket &sink, std::size_t size,
                   std::chrono::milliseconds after)
    {
        direction.timer.expires_after(after);
        direction.timer.async_wait([&, self = shared_from_this(), size](asio::error_code) {
            if (m_isSilent)
                read(direction, source, sink);
            else if (m_rules.passage(direction.from, direction.to).isBlocked)
                passLater(direction, source, sink, size, HeldInterval);
            else
                write(direction, source, sink, size);
        });
    }

    void write(Direction &direction, tcp::socket &source, tcp::socket &sink, std::size_t size)
    {
        asio::async_write(sink, asio::buffer(direction.buffer.data(), size),
                          [&, self = shared_from_this()](asio::error_code error, std::size_t) {
                              if (error)
                                  reset();
                              else
                                  read(direction, source, sink);
                          });
    }

    void reset()
    {
        asio::error_code ignored;
        for (tcp::socket *socket : {&m_caller, &m_called}) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    Direction m_forward;
    Direction m_back;
    const Rules &m_rules;
    tcp::socket m_caller;
    tcp::socket m_called;
    bool m_isSilent = false;
};

/// Relays one address, over TCP and UDP.
class Link
{
public:
    Link(asio::io_context &io, const Rules &rules, const Address &listen, const Address &to)
        : m_rules(rules)
        , m_to(to)
        , m_io(io)
        , m_acceptor(io, tcp::endpoint(asio::ip::make_address(listen.ip), listen.port))
        , m_datagrams(io, udp::endpoint(asio::ip::make_address(listen.ip), listen.port))
    {
    }

    void start()
    {
        accept();
        receive();
    }

    void applyRules()
    {
        for (const auto &session : m_sessions)
            session->applyRules();
        std::erase_if(m_sessions, [](const auto &session) { return !session->isOpen(); });
    }

    void silence()
    {
        for (const auto &session : m_sessions)
            session->goSilent();
    }

private:
    /// The socket that stands for one sender of datagrams.
    struct Sender
    {
        Sender(asio::io_context &io, const udp::endpoint &sender, const Address &to)
            : from(sender)
            , socket(io, udp::endpoint(asio::ip::make_address(to.ip), 0))
        {
        }
        udp::endpoint from;
        udp::socket socket;
        std::array<char, BufferBytes> buffer{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](asio::error_code error, tcp::socket socket) {
            asio::error_code noEndpoint;
            const auto remote = socket.remote_endpoint(noEndpoint);
            if (!error && !noEndpoint) {
                const auto session = std::make_shared<Session>(
                    m_rules, std::move(socket), remote.address().to_string(), m_to.ip);
                m_sessions.insert(session);
                session->start({asio::ip::make_address(m_to.ip), m_to.port});
                applyRules();
            }
            accept();
        });
    }

    void receive()
    {
        m_datagrams.async_receive_from(asio::buffer(m_buffer), m_from,
                                       [this](asio::error_code error, std::size_t size) {
                                           if (!error)
                                               forward(size);
                                           receive();
                                       });
    }

    void forward(std::size_t size)
    {
        const std::string ip = m_from.address().to_string();
        auto &sender = m_senders[m_from];
        if (!sender) {
            sender = std::make_shared<Sender>(m_io, m_from, m_to);
            receiveBack(sender);
        }
        const udp::endpoint to(asio::ip::make_address(m_to.ip), m_to.port);
        sendDatagram(sender->socket, to, m_rules.passage(ip, m_to.ip), m_buffer.data(), size);
    }

    void receiveBack(const std::shared_ptr<Sender> &sender)
    {
        sender->socket.async_receive(
            asio::buffer(sender->buffer), [this, sender](asio::error_code error, std::size_t size) {
                const std::string ip = sender->from.address().to_string();
                if (!error)
                    sendDatagram(m_datagrams, sender->from, m_rules.passage(m_to.ip, ip),
                                 sender->buffer.data(), size);
                receiveBack(sender);
            });
    }

    void sendDatagram(udp::socket &socket, const udp::endpoint &to, const Passage &passage,
                      const char *bytes, std::size_t size)
    {
        if (passage.isBlocked || passage.isCut)
            return;
        const auto copy = std::make_shared<std::string>(bytes, size);
        const auto timer = std::make_shared<asio::steady_timer>(m_io, passage.delay);
        timer->async_wait([&socket, to, copy, timer](asio::error_code) {
            asio::error_code ignored;
            socket.send_to(asio::buffer(*copy), to, 0, ignored);
        });
    }

    const Rules &m_rules;
    Address m_to;
    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    udp::socket m_datagrams;
    udp::endpoint m_from;
    std::array<char, BufferBytes> m_buffer{};
    std::set<std::shared_ptr<Session>> m_sessions;
    std::map<udp::endpoint, std::shared_ptr<Sender>> m_senders;
};

using Links = std::vector<std::unique_ptr<Link>>;

/// The control address: `PUT /rules` replaces the rules, `PUT /silence` silences what stands.
HttpResponse control(const HttpRequest &request, Rules &rules, Links &links)
{
    HttpResponse response;
    response.status = 200;
    const Json body = Json::parse(request.body, nullptr, false);
    if (request.method == "PUT" && request.target == "/rules" && body.is_array()) {
        rules.set(body);
        for (const auto &link : links)
            link->applyRules();
    } else if (request.method == "PUT" && request.target == "/silence") {
        for (const auto &link : links)
            link->silence();
    } else if (request.target != "/healthz") {
        response.status = 400;
    }
    return response;
}

void acceptControl(tcp::acceptor &acceptor, Rules &rules, Links &links)
{
    acceptor.async_accept([&](asio::error_code error, tcp::socket socket) {
        if (!error)
            std::make_shared<ServedConnection>(
                std::move(socket),
                [&](const std::shared_ptr<ServedConnection> &connection,
                    const HttpRequest &request) {
                    connection->respond(control(request, rules, links));
                })
                ->start([] {});
        acceptControl(acceptor, rules, links);
    });
}

int usage()
{
    std::fputs("Usage: relay --control ADDRESS --link LISTEN=TO [--link LISTEN=TO...]\n", stderr);
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    static const option options[] = {{"control", required_argument, nullptr, 'c'},
                                     {"link", required_argument, nullptr, 'l'},
                                     {nullptr, 0, nullptr, 0}};
    asio::io_context io(1);
    Rules rules;
    Links links;
    std::string controlAddress;
    for (int c = 0; (c = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        const std::string value = optarg == nullptr ? "" : optarg;
        const auto equals = value.find('=');
        if (c == 'c') {
            controlAddress = value;
            continue;
        }
        const auto listen = parseAddress(value.substr(0, equals));
        const auto to = parseAddress(equals == std::string::npos ? "" : value.substr(equals + 1));
        if (c != 'l' || !listen || !to)
            return usage();
        links.push_back(std::make_unique<Link>(io, rules, *listen, *to));
    }
    const auto address = parseAddress(controlAddress);
    if (!address || links.empty())
        return usage();
    for (const auto &link : links)
        link->start();
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address(address->ip), address->port));
    acceptControl(acceptor, rules, links);
    io.run();
    return 0;
}
