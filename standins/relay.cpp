// Stands in for the network between VMs: listens on the address that is published for a VM, over
// TCP and UDP, and forwards the traffic to the address that the VM really listens on. A control
// address, which a real network does not have, blocks, cuts or delays the traffic from one IP
// address to another, or silences the open connections for good.

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

#include "servedconnection.h"

namespace {

using namespace mangoshift;
using asio::ip::tcp;
using asio::ip::udp;
using Json = nlohmann::json;

constexpr std::size_t BufferBytes = 64U << 10U;
/// The interval at which the relay checks whether blocked bytes may be forwarded.
constexpr std::chrono::milliseconds BlockedRetryInterval{5};

/// The faults that apply to the traffic in one direction.
struct Impairment
{
    /// Bytes of connections are held until the rule is removed, as when TCP retransmits lost
    /// packets; datagrams are dropped.
    bool isBlocked = false;
    /// Open and new connections are reset; datagrams are dropped.
    bool isCut = false;
    std::chrono::milliseconds delay{0}; ///< Added before bytes or datagrams are forwarded.
};

/// The current rules. Each applies to the traffic from one IP address to another (`*` for any); the
/// first match counts.
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

    Impairment impairment(const std::string &from, const std::string &to) const
    {
        for (const Rule &rule : m_rules)
            if ((rule.from == "*" || rule.from == from) && (rule.to == "*" || rule.to == to))
                return rule.impairment;
        return {};
    }

private:
    struct Rule
    {
        std::string from;
        std::string to;
        Impairment impairment;
    };
    std::vector<Rule> m_rules;
};

/// A relayed TCP connection.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(const Rules &rules, tcp::socket initiator, std::string initiatorIp,
            std::string destinationIp)
        : m_toDestination{std::move(initiatorIp),
                          std::move(destinationIp),
                          {},
                          asio::steady_timer(initiator.get_executor())}
        , m_toInitiator{m_toDestination.to,
                        m_toDestination.from,
                        {},
                        asio::steady_timer(initiator.get_executor())}
        , m_rules(rules)
        , m_initiator(std::move(initiator))
        , m_destination(m_initiator.get_executor())
    {
    }

    void start(const tcp::endpoint &to)
    {
        m_destination.async_connect(to, [self = shared_from_this()](asio::error_code error) {
            if (error) {
                self->reset();
                return;
            }
            asio::error_code ignored;
            self->m_initiator.set_option(tcp::no_delay(true), ignored);
            self->m_destination.set_option(tcp::no_delay(true), ignored);
            self->read(self->m_toDestination, self->m_initiator, self->m_destination);
            self->read(self->m_toInitiator, self->m_destination, self->m_initiator);
        });
    }

    /// Discards all bytes received from now on. If one side closes its connection, the other side's
    /// connection stays open.
    void silence() { m_isSilent = true; }

    bool isOpen() const { return m_initiator.is_open(); }

    /// Resets the connection if a rule cuts either direction.
    void applyRules()
    {
        if (m_rules.impairment(m_toDestination.from, m_toDestination.to).isCut
            || m_rules.impairment(m_toInitiator.from, m_toInitiator.to).isCut)
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
                const auto delay = m_rules.impairment(direction.from, direction.to).delay;
                forwardLater(direction, source, sink, size, delay);
            });
    }

    void forwardLater(Direction &direction, tcp::socket &source, tcp::socket &sink,
                      std::size_t size, std::chrono::milliseconds after)
    {
        direction.timer.expires_after(after);
        direction.timer.async_wait([&, self = shared_from_this(), size](asio::error_code) {
            if (m_isSilent)
                read(direction, source, sink);
            else if (m_rules.impairment(direction.from, direction.to).isBlocked)
                forwardLater(direction, source, sink, size, BlockedRetryInterval);
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
        for (tcp::socket *socket : {&m_initiator, &m_destination}) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    Direction m_toDestination;
    Direction m_toInitiator;
    const Rules &m_rules;
    tcp::socket m_initiator;
    tcp::socket m_destination;
    bool m_isSilent = false;
};

/// Relays one address over TCP and UDP.
class Link
{
public:
    Link(asio::io_context &io, const Rules &rules, const Address &listen, const Address &to)
        : m_rules(rules)
        , m_to(to)
        , m_io(io)
        , m_acceptor(io, tcp::endpoint(asio::ip::make_address(listen.ip), listen.port))
        , m_udpSocket(io, udp::endpoint(asio::ip::make_address(listen.ip), listen.port))
    {
    }

    void start()
    {
        acceptConnection();
        receiveDatagram();
    }

    void applyRules()
    {
        for (const auto &session : m_sessions)
            session->applyRules();
        std::erase_if(m_sessions, [](const auto &session) { return !session->isOpen(); });
    }

    void silenceSessions()
    {
        for (const auto &session : m_sessions)
            session->silence();
    }

private:
    /// Forwards the datagrams of one sender through a separate socket, so that replies can be sent
    /// back to that sender.
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

    void acceptConnection()
    {
        m_acceptor.async_accept([this](asio::error_code error, tcp::socket socket) {
            asio::error_code endpointError;
            const auto remote = socket.remote_endpoint(endpointError);
            if (!error && !endpointError) {
                const auto session = std::make_shared<Session>(
                    m_rules, std::move(socket), remote.address().to_string(), m_to.ip);
                m_sessions.insert(session);
                session->start({asio::ip::make_address(m_to.ip), m_to.port});
                applyRules();
            }
            acceptConnection();
        });
    }

    void receiveDatagram()
    {
        m_udpSocket.async_receive_from(asio::buffer(m_datagram), m_datagramSource,
                                       [this](asio::error_code error, std::size_t size) {
                                           if (!error)
                                               forwardDatagram(size);
                                           receiveDatagram();
                                       });
    }

    void forwardDatagram(std::size_t size)
    {
        const std::string ip = m_datagramSource.address().to_string();
        auto &sender = m_senders[m_datagramSource];
        if (!sender) {
            sender = std::make_shared<Sender>(m_io, m_datagramSource, m_to);
            receiveReplies(sender);
        }
        const udp::endpoint to(asio::ip::make_address(m_to.ip), m_to.port);
        sendDatagram(sender->socket, to, m_rules.impairment(ip, m_to.ip), m_datagram.data(), size);
    }

    void receiveReplies(const std::shared_ptr<Sender> &sender)
    {
        sender->socket.async_receive(
            asio::buffer(sender->buffer), [this, sender](asio::error_code error, std::size_t size) {
                const std::string ip = sender->from.address().to_string();
                if (!error)
                    sendDatagram(m_udpSocket, sender->from, m_rules.impairment(m_to.ip, ip),
                                 sender->buffer.data(), size);
                receiveReplies(sender);
            });
    }

    void sendDatagram(udp::socket &socket, const udp::endpoint &to, const Impairment &impairment,
                      const char *bytes, std::size_t size)
    {
        if (impairment.isBlocked || impairment.isCut)
            return;
        const auto copy = std::make_shared<std::string>(bytes, size);
        const auto timer = std::make_shared<asio::steady_timer>(m_io, impairment.delay);
        timer->async_wait([&socket, to, copy, timer](asio::error_code) {
            asio::error_code ignored;
            socket.send_to(asio::buffer(*copy), to, 0, ignored);
        });
    }

    const Rules &m_rules;
    Address m_to;
    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    udp::socket m_udpSocket;
    udp::endpoint m_datagramSource;
    std::array<char, BufferBytes> m_datagram{};
    std::set<std::shared_ptr<Session>> m_sessions;
    std::map<udp::endpoint, std::shared_ptr<Sender>> m_senders;
};

using Links = std::vector<std::unique_ptr<Link>>;

/// Handles a control request: `PUT /rules` replaces the rules, `PUT /silence` silences the open
/// connections.
HttpResponse handleControl(const HttpRequest &request, Rules &rules, Links &links)
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
            link->silenceSessions();
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
                    connection->respond(handleControl(request, rules, links));
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
