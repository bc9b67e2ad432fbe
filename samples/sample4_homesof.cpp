// Finds the home VM of a shard and the VM that takes over when the home VM is lost.

#include <algorithm>
#include <cstdio>

#include "mangoshift/placement.h"

using namespace mangoshift;

int main()
{
    Document document;
    document.targets = {{"lookup-a", "127.0.2.1:9100", "kolkata-a", 2, 25},
                        {"lookup-b", "127.0.2.2:9100", "khulna-a", 2, 25}};
    const Shard shard{"lookup", shardKey("pass-lookup", "lookup"), {0, 1}};

    MemberView view;
    view.members = {{"vm0", "kolkata-a", "bengal", "127.0.1.1:7102", 1, false},
                    {"vm1", "khulna-a", "bengal", "127.0.1.2:7102", 2, false},
                    {"vm2", "khulna-a", "bengal", "127.0.1.3:7102", 3, false}};
    const Member self = view.members[0];

    // With `RegionHomes` a shard has one home VM in the region, which uses all its replicas.
    const HomeChoice choice = homesOf(shard, document, view, self, RegionHomes{}).front();
    const VmId home = choice.vms.at(0);
    const VmId next = choice.vms.at(1);
    std::printf("home %s, then %s\n", home.c_str(), next.c_str());

    // VMs with the same member view choose the same home VM without communicating.
    std::erase_if(view.members, [&](const Member &each) { return each.vm == home; });
    const HomeChoice after = homesOf(shard, document, view, self, RegionHomes{}).front();
    std::printf("after losing it: home %s\n", after.vms.at(0).c_str());
    return after.vms.at(0) == next ? 0 : 1;
}
