// Stands in for the platform: serves a configuration that can be read and watched, and a list of
// VMs. The /control paths, which the real platform does not have, publish new versions and inject
// faults.

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>

#include <getopt.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "app/files.h"
#include "base/address.h"

namespace {

using mangoshift::Address;

constexpr std::chrono::seconds WatchTimeout{10};
constexpr std::size_t Threads = 256;
/// The number of recent documents kept, so that a stale one can be served.
constexpr std::uint64_t MaxKeptDocuments = 256;

class Platform
{
public:
    void publish(std::string document)
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        m_documents[m_version] = std::move(document);
        m_documents.erase(m_version - MaxKeptDocuments);
        m_changed.notify_all();
    }

    void setVms(std::string vms)
    {
        const std::lock_guard lock(m_mutex);
        m_vms = std::move(vms);
    }

    /// Sets the version that precedes the next publication, as on a platform that has published
    /// before.
    void setVersion(std::uint64_t version)
    {
        const std::lock_guard lock(m_mutex);
        m_version = version;
    }

    /// Serves the document of `version` instead of the newest one; 0 ends this fault.
    void setStaleVersion(std::uint64_t version)
    {
        const std::lock_guard lock(m_mutex);
        m_staleVersion = version;
        m_changed.notify_all();
    }

    /// While set, every read gets a 503 response.
    void setUnavailable(bool isUnavailable)
    {
        const std::lock_guard lock(m_mutex);
        m_isUnavailable = isUnavailable;
        m_changed.notify_all();
    }

    void serveConfig(const httplib::Request &request, httplib::Response &response)
    {
        std::unique_lock lock(m_mutex);
        ++m_configReads;
        if (request.has_param("watch")) {
            const std::uint64_t after =
                std::strtoull(request.get_param_value("after").c_str(), nullptr, 10);
            m_changed.wait_for(lock, WatchTimeout,
                               [&] { return m_isUnavailable || servedVersion() > after; });
            if (!m_isUnavailable && servedVersion() <= after) {
                response.status = 304;
                return;
            }
        }
        if (m_isUnavailable || m_version == 0) {
            response.status = 503;
            return;
        }
        response.set_header("Config-Version", std::to_string(servedVersion()));
        response.set_content(m_documents[servedVersion()], "application/json");
    }

    void serveVms(httplib::Response &response)
    {
        const std::lock_guard lock(m_mutex);
        ++m_listReads;
        if (m_isUnavailable) {
            response.status = 503;
            return;
        }
        response.set_content(m_vms, "application/json");
    }

    std::string statusJson()
    {
        const std::lock_guard lock(m_mutex);
        return nlohmann::json{{"version", m_version},
                              {"reads", m_configReads + m_listReads},
                              {"config_reads", m_configReads},
                              {"list_reads", m_listReads}}
            .dump();
    }

private:
    std::uint64_t servedVersion() const { return m_staleVersion == 0 ? m_version : m_staleVersion; }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::uint64_t, std::string> m_documents;
    std::string m_vms = "[]";
    std::uint64_t m_version = 0;
    std::uint64_t m_staleVersion = 0;
    std::uint64_t m_configReads = 0;
    std::uint64_t m_listReads = 0;
    bool m_isUnavailable = false;
};

void addRoutes(httplib::Server &server, Platform &platform)
{
    server.new_task_queue = [] { return new httplib::ThreadPool(Threads); };
    server.set_tcp_nodelay(true);
    server.Get("/v1/config", [&](const httplib::Request &request, httplib::Response &response) {
        platform.serveConfig(request, response);
    });
    server.Get("/v1/vms", [&](const httplib::Request &, httplib::Response &response) {
        platform.serveVms(response);
    });
    server.Put("/control/config", [&](const httplib::Request &request, httplib::Response &) {
        platform.publish(request.body);
    });
    server.Put("/control/vms", [&](const httplib::Request &request, httplib::Response &) {
        platform.setVms(request.body);
    });
    server.Put("/control/down", [&](const httplib::Request &request, httplib::Response &) {
        platform.setUnavailable(request.body == "true");
    });
    server.Put("/control/stale", [&](const httplib::Request &request, httplib::Response &) {
        platform.setStaleVersion(std::strtoull(request.body.c_str(), nullptr, 10));
    });
    server.Get("/control/status", [&](const httplib::Request &, httplib::Response &response) {
        response.set_content(platform.statusJson(), "application/json");
    });
}

int usage()
{
    std::fputs("Usage: fakeplatform --listen ADDRESS [--version N]\n"
               "                    [--document FILE] [--vms FILE]\n",
               stderr);
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    static const option options[] = {{"listen", required_argument, nullptr, 'l'},
                                     {"document", required_argument, nullptr, 'd'},
                                     {"version", required_argument, nullptr, 'n'},
                                     {"vms", required_argument, nullptr, 'v'},
                                     {nullptr, 0, nullptr, 0}};
    std::string listen;
    Platform platform;
    for (int c = 0; (c = getopt_long(argc, argv, "l:n:d:v:", options, nullptr)) != -1;) {
        if (c == 'l') {
            listen = optarg;
            continue;
        }
        if (c == 'n') {
            platform.setVersion(std::strtoull(optarg, nullptr, 10) - 1);
            continue;
        }
        if (c != 'd' && c != 'v')
            return usage();
        auto text = mangoshift::readFile(optarg);
        if (!text) {
            std::fprintf(stderr, "fakeplatform: %s\n", text.error().c_str());
            return 3;
        }
        if (c == 'd')
            platform.publish(std::move(*text));
        else
            platform.setVms(std::move(*text));
    }
    const auto address = mangoshift::parseAddress(listen);
    if (!address)
        return usage();
    httplib::Server server;
    addRoutes(server, platform);
    return server.listen(address->ip.c_str(), address->port) ? 0 : 3;
}
