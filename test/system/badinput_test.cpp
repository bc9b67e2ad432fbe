#include <csignal>
#include <fstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/command.h"
#include "app/files.h"
#include "base/address.h"
#include "deployment.h"
#include "rawconnection.h"
#include "wire/framecodec.h"

using namespace mangoshift;
using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

Address peerAddressOf(const Deployment &deployment, const std::string &vm)
{
    const auto text = readFile(deployment.folder() + "/settings/" + vm + ".json");
    return parseAddress(Json::parse(*text)["peer_address"]).value();
}

std::string frameHeader(std::uint32_t length)
{
    std::string bytes;
    for (unsigned i = 0; i < FrameHeaderBytes; ++i)
        bytes.push_back(static_cast<char>((length >> (8U * i)) & 0xffU));
    return bytes;
}

std::string helloFrame(std::uint16_t protocol)
{
    wire::HelloT message;
    message.protocol = protocol;
    message.vm = "stranger";
    return encodeFrame(*makeFrame(std::move(message)));
}

/// Waits for a complete answer from every VM. Returns false on a timeout.
bool allVmsAnswer(Deployment &deployment)
{
    for (const std::string &vm : deployment.vmNames())
        if (!eventually([&] {
                const auto response = deployment.query(vm, "pass-lookup");
                return response.status == 200 && Json::parse(response.body)["complete"] == true;
            }))
            return false;
    return true;
}

bool logContains(const Deployment &deployment, const std::string &vm, const std::string &text)
{
    const auto log = readFile(deployment.folder() + "/" + vm + ".log");
    return log && log->find(text) != std::string::npos;
}

} // namespace

TEST_CASE("A VM keeps answering queries when its ports receive invalid input")
{
    GIVEN("the Sundarban deployment, every VM ready")
    {
        Deployment deployment("sundarban");
        const std::string vm = deployment.vmNames().front();

        SECTION("an invalid frame, or one sent before Hello, closes only its own connection")
        {
            const Address peer = peerAddressOf(deployment, vm);
            wire::CancelShardsT cancel;
            const std::string frameBeforeHello = encodeFrame(*makeFrame(std::move(cancel)));
            for (const std::string &bytes :
                 {frameHeader(0), frameHeader(MaxFrameBytes + 1),
                  frameHeader(64) + std::string(64, '\xff'), std::string("GET / HTTP/1.1\r\n\r\n"),
                  frameBeforeHello, helloFrame(PeerProtocolVersion + 1)}) {
                RawConnection connection(peer);
                connection.send(bytes);
                connection.readToEnd();
            }
            CHECK(eventually(
                [&] { return logContains(deployment, vm, "event=peer_frame_rejected"); }));
            CHECK(allVmsAnswer(deployment));
        }

        SECTION("an incomplete frame does not block other connections")
        {
            const Address peer = peerAddressOf(deployment, vm);
            std::vector<std::unique_ptr<RawConnection>> connections;
            for (int i = 0; i < 20; ++i) {
                connections.push_back(std::make_unique<RawConnection>(peer));
                connections.back()->send(helloFrame(PeerProtocolVersion) + frameHeader(1000)
                                         + "half");
            }
            CHECK(allVmsAnswer(deployment));
        }

        SECTION("invalid requests on the callers' port get an error response")
        {
            const Address callers = parseAddress(deployment.callerAddress(vm)).value();
            for (const std::string &bytes :
                 {std::string("\x16\x03\x01 not HTTP at all\r\n\r\n"),
                  std::string("POST /v1/query/pass-lookup HTTP/1.1\r\nHost: x\r\nConnection: close"
                              "\r\nContent-Length: 99999999\r\n\r\n{}")}) {
                RawConnection connection(callers);
                connection.send(bytes);
                CHECK(connection.readToEnd().rfind("HTTP/1.1 4", 0) == 0);
            }
            RawConnection partialRequest(callers);
            partialRequest.send(
                "POST /v1/query/pass-lookup HTTP/1.1\r\nContent-Length: 50\r\n\r\n{");
            const auto nestedRequest =
                deployment.query(vm, "pass-lookup", std::string(100'000, '['));
            CHECK(nestedRequest.status == 400);
            CHECK(Json::parse(nestedRequest.body)["field"] == "body");
            CHECK(Json::parse(nestedRequest.body)["execution"] == "not_run");
            CHECK(allVmsAnswer(deployment));
        }
    }
}

TEST_CASE("A second process that is started with the addresses of a running VM")
{
    Deployment deployment("sundarban");
    const std::string vm = deployment.vmNames().front();
    const std::string log = deployment.folder() + "/second.log";

    SECTION("logs which address is in use and exits, and the first one keeps answering")
    {
        Process second("mangoshift",
                       {"serve", "--settings", deployment.folder() + "/settings/" + vm + ".json"},
                       log);
        CHECK(second.wait() == ExitFailure);
        CHECK(readFile(log).value().find("event=listen_failed field=peer_address")
              != std::string::npos);
        CHECK(allVmsAnswer(deployment));
    }
}

TEST_CASE("A VM reloads its settings on SIGHUP")
{
    GIVEN("a running VM whose settings file has changed")
    {
        Deployment deployment("sundarban");
        const std::string vm = deployment.vmNames().front();
        const std::string path = deployment.folder() + "/settings/" + vm + ".json";
        Json settings = Json::parse(*readFile(path));

        SECTION("the log level is applied, and the log lists changes that need a restart")
        {
            settings["caller_threads"] = 7;
            settings["log_level"] = "warning";
            std::ofstream(path) << settings.dump();
            deployment.vm(vm).signal(SIGHUP);
            CHECK(eventually([&] {
                return logContains(deployment, vm,
                                   "event=settings_need_restart field=caller_threads");
            }));
            // The reload is logged at level info, which is disabled now.
            CHECK_FALSE(logContains(deployment, vm, "event=settings_reloaded"));
        }

        SECTION("invalid settings change nothing, and the log names the invalid field")
        {
            settings["unknown"] = 1;
            std::ofstream(path) << settings.dump();
            deployment.vm(vm).signal(SIGHUP);
            CHECK(eventually([&] {
                return logContains(deployment, vm, "event=settings_rejected field=/unknown");
            }));
            CHECK(allVmsAnswer(deployment));
        }
    }
}
