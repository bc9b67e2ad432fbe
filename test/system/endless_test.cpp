#include <map>
#include <memory>
#include <sstream>

#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/command.h"
#include "app/files.h"
#include "deployment.h"
#include "endless.h"
#include "rawconnection.h"
#include "wire/framecodec.h"

using namespace mangoshift;
using namespace mangoshift::testing;
using Json = nlohmann::json;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// What a VM may need more than before, while it receives bytes without an end.
constexpr std::size_t MemoryAllowance = 64U << 20U;

/// The Sundarban deployment and the memory that its VMs had needed when the test began.
class WatchedDeployment
{
public:
    WatchedDeployment()
        : deployment("sundarban")
    {
        for (const std::string &vm : deployment.vmNames())
            m_memory[vm] = peakMemory(deployment.vm(vm).pid());
    }

    /// Checks that every VM still runs, answers whole and has needed little more memory.
    void requireUnharmed()
    {
        for (const std::string &vm : deployment.vmNames()) {
            INFO(vm);
            CHECK_FALSE(deployment.vm(vm).hasEnded());
            CHECK(eventually([&] {
                const auto response = deployment.query(vm, "pass-lookup");
                const Json answer = Json::parse(response.body, nullptr, false);
                return response.status == 200 && answer["complete"] == true;
            }));
            CHECK(peakMemory(deployment.vm(vm).pid()) < m_memory[vm] + MemoryAllowance);
        }
    }

    /// Returns the sum of a counter of a VM over the label values that contain `label`.
    double counter(const std::string &vm, const std::string &name, const std::string &label)
    {
        std::istringstream lines(deployment.get(deployment.operatorAddress(vm), "/metrics").body);
        double sum = 0;
        for (std::string line; std::getline(lines, line);)
            if (line.rfind(name, 0) == 0 && line.find(label) != std::string::npos)
                sum += std::stod(line.substr(line.rfind(' ')));
        return sum;
    }

    bool allVmsRejectedAnswers(const std::string &why)
    {
        const auto names = deployment.vmNames();
        return std::all_of(names.begin(), names.end(), [&](const std::string &vm) {
            return counter(vm, "mangoshift_platform_answers_rejected_total", why) >= 2;
        });
    }

    bool allVmsHaveVersion(std::uint64_t version)
    {
        const auto names = deployment.vmNames();
        return std::all_of(names.begin(), names.end(), [&](const std::string &vm) {
            return counter(vm, "mangoshift_config_version", "") == static_cast<double>(version);
        });
    }

    Address settingsAddress(const std::string &vm, const std::string &field) const
    {
        const auto text = readFile(deployment.folder() + "/settings/" + vm + ".json");
        return parseAddress(Json::parse(*text)[field]).value();
    }

    Deployment deployment;

private:
    std::map<std::string, std::size_t> m_memory;
};

tcp::socket connectTo(asio::io_context &io, const Address &address)
{
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    return socket;
}

int exitStatusOf(const std::vector<std::string> &arguments)
{
    return Process("mangoshift", arguments, "/dev/null").wait();
}

std::string helloFrame(const std::string &vm)
{
    wire::HelloT hello;
    hello.protocol = PeerProtocolVersion;
    hello.vm = vm;
    hello.incarnation = 7;
    return encodeFrame(*makeFrame(std::move(hello)));
}

std::string lengthOfLongestFrame()
{
    std::string header;
    for (unsigned i = 0; i < FrameHeaderBytes; ++i)
        header.push_back(static_cast<char>((MaxFrameBytes >> (8U * i)) & 0xffU));
    return header;
}

} // namespace

TEST_CASE("A platform whose answers never end")
{
    GIVEN("a deployment whose platform is replaced by a server that pours")
    {
        WatchedDeployment watched;
        Deployment &deployment = watched.deployment;
        const Address platform = parseAddress(deployment.platformAddress()).value();
        deployment.stopPlatform();

        SECTION("in any part of an answer harms no VM, and the next document is adopted")
        {
            for (const Endless &bytes : endlessResponses()) {
                INFO(bytes.begin << " / " << bytes.repeated);
                const EndlessServer server(platform, bytes);
                CHECK(eventually([&] { return server.mostPoured() > 0; }));
            }
            {
                const EndlessServer server(platform, endlessResponses().back());
                CHECK(eventually([&] { return watched.allVmsRejectedAnswers("_too_large"); }));
            }
            watched.requireUnharmed();
            deployment.restartPlatform(5);
            CHECK(eventually([&] { return watched.allVmsHaveVersion(5); }));
        }

        SECTION("by trickling is given up after a while, and the next document is adopted")
        {
            {
                const EndlessServer server(platform,
                                           {"HTTP/1.1 200 OK\r\n", "a: b\r\n", milliseconds(100)});
                CHECK(eventually([&] { return watched.allVmsRejectedAnswers("too_slow"); },
                                 std::chrono::seconds(60)));
            }
            watched.requireUnharmed();
            deployment.restartPlatform(5);
            CHECK(eventually([&] { return watched.allVmsHaveVersion(5); }));
        }
    }
}

TEST_CASE("Commands end although the answer does not")
{
    // The largest answer that a command takes, with what the sockets of both ends hold.
    constexpr std::size_t maxTaken = 96U << 20U;
    SECTION("in any part of it")
    {
        for (const Endless &bytes : endlessResponses()) {
            INFO(bytes.begin << " / " << bytes.repeated);
            const EndlessServer server({"127.0.0.1", 0}, bytes);
            const std::string to = server.address();
            CHECK(exitStatusOf({"query", "--to", to, "--service", "s"}) == ExitFailure);
            CHECK(exitStatusOf({"state", "--of", to}) == ExitFailure);
            CHECK(exitStatusOf({"submit", "--to", to, "--service", "s", "--patience-ms", "1"})
                  == ExitFailure);
            // Its bytes were given to the socket, so it may have run.
            CHECK(exitStatusOf({"submit", "--to", to, "--service", "s", "--patience-ms", "1",
                                "--ticket", "t"})
                  == ExitMayHaveRun);
            CHECK(server.mostPoured() < maxTaken);
        }
    }

    SECTION("also if the answer trickles")
    {
        const EndlessServer server({"127.0.0.1", 0},
                                   {"HTTP/1.1 200 OK\r\n\r\n", "x", milliseconds(100)});
        const std::string to = server.address();
        CHECK(exitStatusOf({"query", "--to", to, "--service", "s", "--deadline-ms", "1"})
              == ExitFailure);
        CHECK(exitStatusOf(
                  {"submit", "--to", to, "--service", "s", "--patience-ms", "1", "--ticket", "t"})
              == ExitMayHaveRun);
    }

    SECTION("submit does not wait for ever for a ticket that no answer holds")
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"tickets\":[]}";
        const EndlessServer server({"127.0.0.1", 0}, {answer, answer});
        CHECK(exitStatusOf(
                  {"submit", "--to", server.address(), "--service", "s", "--patience-ms", "500"})
              == ExitFailure);
    }
}

TEST_CASE("Callers and operators whose requests never end harm no VM")
{
    WatchedDeployment watched;
    const std::string vm = watched.deployment.vmNames().front();
    const std::string post = "POST /v1/query/pass-lookup HTTP/1.1\r\nHost: vm\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<Endless> requests{
        {"", "\r\n"},
        {"", "GET "},
        {"POST /v1/query/", "pass-lookup"},
        {post, "Name: value\r\n"},
        {post + "Name: ", "value"},
        {post, "name"},
        {post + "Content-Length: 99999999999\r\n\r\n", "body"},
        {post
             + "Content-Type: multipart/form-data; boundary=x\r\nContent-Length: 99999999999\r\n"
               "\r\n--x\r\n",
         "Name: value\r\n"},
        {chunked, "4\r\nbody\r\n"},
        {chunked + "4;", "extension"},
        {chunked, "0"}};
    for (const char *field : {"caller_address", "operator_address"}) {
        const Address address = watched.settingsAddress(vm, field);
        for (const Endless &bytes : requests) {
            INFO(field << ": " << bytes.begin << " / " << bytes.repeated);
            asio::io_context io;
            tcp::socket socket = connectTo(io, address);
            CHECK(pour(socket, bytes) < MaxPouredBytes);
        }
        INFO(field << ", a trickle");
        asio::io_context io;
        tcp::socket socket = connectTo(io, address);
        CHECK(pour(socket, {post, "a: b\r\n", milliseconds(100)}) < MaxPouredBytes);
    }
    watched.requireUnharmed();
}

TEST_CASE("An encoded request is refused, since its body could become any size")
{
    WatchedDeployment watched;
    const std::string vm = watched.deployment.vmNames().front();
    // A megabyte of zeros, compressed twenty times over in one stream, would be taken as a body.
    for (const char *field : {"caller_address", "operator_address"}) {
        RawConnection connection(watched.settingsAddress(vm, field));
        connection.send("POST /v1/query/pass-lookup HTTP/1.1\r\nHost: vm\r\nContent-Encoding: gzip"
                        "\r\nContent-Length: 4\r\n\r\nbody");
        CHECK(connection.readToEnd().rfind("HTTP/1.1 415 ", 0) == 0);
    }
    watched.requireUnharmed();
}

TEST_CASE("Peers whose frames never end harm no VM")
{
    WatchedDeployment watched;
    const std::string vm = watched.deployment.vmNames().front();
    const Address peer = watched.settingsAddress(vm, "peer_address");
    asio::io_context io;

    SECTION("that announce long frames on many links and send little of them")
    {
        constexpr int links = 200;
        std::vector<tcp::socket> sockets;
        for (int i = 0; i < links; ++i) {
            sockets.push_back(connectTo(io, peer));
            asio::write(sockets.back(),
                        asio::buffer(helloFrame("stranger-" + std::to_string(i))
                                     + lengthOfLongestFrame() + "little"));
        }
        watched.requireUnharmed();
        // Each link is closed after a while.
        for (tcp::socket &socket : sockets) {
            std::array<char, 4096> buffer{};
            asio::error_code error;
            while (!error)
                socket.read_some(asio::buffer(buffer), error);
        }
    }

    SECTION("that pour before Hello")
    {
        wire::PingT ping;
        const std::string pings = encodeFrame(*makeFrame(ping));
        for (const Endless &bytes : {Endless{"", "no frame"}, Endless{"", pings},
                                     Endless{lengthOfLongestFrame(), "body"}}) {
            tcp::socket socket = connectTo(io, peer);
            CHECK(pour(socket, bytes) < MaxPouredBytes);
        }
        watched.requireUnharmed();
    }

    SECTION("that flood a VM with valid frames, and read none of its replies")
    {
        wire::PingT ping;
        wire::ShardBatchT batch;
        batch.exchange = 1;
        batch.service = "pass-lookup";
        batch.body = std::string(4U << 20U, ' ');
        batch.shards = {1};
        wire::ConfigReplyT reply;
        reply.part_hashes = std::vector<std::uint64_t>(500'000, 1);
        for (const std::string &frame :
             {encodeFrame(*makeFrame(ping)), encodeFrame(*makeFrame(std::move(batch))),
              encodeFrame(*makeFrame(std::move(reply)))}) {
            tcp::socket socket = connectTo(io, peer);
            asio::error_code ignored;
            asio::write(socket, asio::buffer(helloFrame("flood")), ignored);
            pour(socket, {"", frame});
            INFO("frames of " << frame.size() << " bytes");
            watched.requireUnharmed();
        }
    }

    SECTION("or whose heartbeats are none")
    {
        constexpr int datagrams = 20'000;
        asio::ip::udp::socket socket(io, asio::ip::udp::v4());
        const std::string bytes(60'000, 'x');
        for (int i = 0; i < datagrams; ++i)
            socket.send_to(asio::buffer(bytes), {asio::ip::make_address(peer.ip), peer.port});
        watched.requireUnharmed();
    }
}
