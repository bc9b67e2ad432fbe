// Shows from which source each VM of a fleet reads the state of a store, and how a VM fails over
// to another source.

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

    // Three VMs of the failure domain watch the store; the other VMs read from one of them.
    int watchers = 0;
    std::vector<SourcePicker> pickers;
    for (const Member &member : view->members) {
        SourcePicker &picker = pickers.emplace_back(member, std::vector<std::string>{}, now);
        picker.setMembers(view);
        picker.setHasState();
        watchers += picker.isWatcher() ? 1 : 0;
        std::printf("%s reads from %s\n", member.vm.c_str(), nameOf(*picker.pick(now)));
    }

    // A VM whose source fails uses the next source, and returns to the first one later.
    SourcePicker &first = pickers.front();
    const StoreSource lost = *first.pick(now);
    first.onSourceFailed(lost, now + std::chrono::seconds(2), now);
    const StoreSource next = *first.pick(now);
    std::printf("a-0 has lost %s and reads from %s\n", nameOf(lost), nameOf(next));
    first.onSourceSucceeded(next, now, now);
    const bool returnsToFirst = *first.pick(now + std::chrono::seconds(2)) == lost;
    return watchers == 3 && returnsToFirst ? 0 : 1;
}
