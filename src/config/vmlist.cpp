#include "config/vmlist.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/address.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;

std::string stringField(const Json &json, const char *key)
{
    const bool isString = json.contains(key) && json[key].is_string();
    return isString ? json[key].get<std::string>() : std::string();
}

} // namespace

tl::expected<std::vector<Member>, Fault> parseVmList(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_array())
        return tl::make_unexpected(Fault{"", "must be a JSON array"});
    std::vector<Member> members;
    for (const Json &entry : json) {
        if (!entry.is_object())
            continue;
        Member member;
        member.vm = stringField(entry, "vm");
        member.failureDomain = stringField(entry, "failure_domain");
        member.region = stringField(entry, "region");
        member.peerAddress = stringField(entry, "peer_address");
        member.isLeaving = stringField(entry, "state") == "leaving";
        if (!member.vm.empty() && parseAddress(member.peerAddress))
            members.push_back(std::move(member));
    }
    return members;
}

} // namespace mangoshift
