// Shows where each VM of a fleet asks for the state of a store, and what it does when that fails.

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/sourcepicker.h"

using namespace mangoshift;

namespace {

const char *nameOf(const StoreSource &source)
{
    const auto *peer = std::get_if<FromPeer>(&source);
    return peer == nullptr ? "the store" : peer->vm.c_str();
}

} // namespace

int main()
{
    const Clock::time_point now{std::chrono::hours(1)};
    auto view = std::make_shared<MemberView>();
    for (int i = 0; i < 6; ++i) {
        const std::string vm = "a-" + std::to_string(i);
        view->members.push_back({vm, "a", "region", vm + ":7100", 1});
    }

    // Three VMs of the failure domain watch the store; the others ask one of them.
    int watchers = 0;
    std::vector<SourcePicker> pickers;
    for (const Member &member : view->members) {
        SourcePicker &picker = pickers.emplace_back(member, std::vector<std::string>{}, now);
        picker.setMembers(view);
        picker.setHasState();
        watchers += picker.isWatcher() ? 1 : 0;
        std::printf("%s asks %s\n", member.vm.c_str(), nameOf(*picker.pick(now)));
    }

    // One that has lost its source goes on to the next, and comes back to the first later.
    SourcePicker &first = pickers.front();
    const StoreSource lost = *first.pick(now);
    first.onSourceFailed(lost, now + std::chrono::seconds(2));
    const StoreSource next = *first.pick(now);
    std::printf("a-0 has lost %s and asks %s\n", nameOf(lost), nameOf(next));
    first.onSourceSucceeded(next, now);
    const bool returnsToFirst = *first.pick(now + std::chrono::seconds(2)) == lost;
    return watchers == 3 && returnsToFirst ? 0 : 1;
}
