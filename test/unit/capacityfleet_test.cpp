#include <limits>

#include <catch2/catch.hpp>

#include "capacityfleet.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

using Spell = CapacityFleet::Spell;

struct SpellTerms
{
    Spell spell;
    double share;
    Clock::duration length;
    const char *name;
};

const SpellTerms Spells[] = {{Spell::Slow, 0.15, 8s, "slow"},
                             {Spell::Crash, 0.25, 8s, "crash"},
                             {Spell::Resets, 0.59, 4s, "resets"}};

bool isUnresponsive(const TargetOutlook &outlook)
{
    return outlook.isUnresponsive;
}

/// The requests that went to bad targets, as a share of those that would if nothing was known, from
/// half a second after the start of a spell on, and from 2 s after its end on.
struct Shares
{
    double during = 0.0;
    double after = 0.0;
    std::vector<Clock::duration> knowledgeTimes;
    double bytesPerSecond = 0.0;
    double ownerBytesPerSecond = 0.0;
    double ownerFramesPerSecond = 0.0;
};

Shares play(const CapacityFleet::Terms &terms, const SpellTerms &spell)
{
    CapacityFleet fleet(terms);
    fleet.run(5s);
    const auto vmBefore = fleet.traffic(1);
    const auto ownerBefore = fleet.traffic(fleet.owner());
    fleet.startSpell(spell.spell, spell.share);
    fleet.run(750ms);
    fleet.takeBadShare();
    fleet.run(spell.length - 750ms);
    Shares shares;
    shares.during = fleet.takeBadShare() / fleet.badShareOfTargets();
    const double seconds = std::chrono::duration<double>(spell.length).count();
    shares.bytesPerSecond = static_cast<double>(fleet.traffic(1).bytes - vmBefore.bytes) / seconds;
    const auto owner = fleet.traffic(fleet.owner());
    shares.ownerBytesPerSecond = static_cast<double>(owner.bytes - ownerBefore.bytes) / seconds;
    shares.ownerFramesPerSecond = static_cast<double>(owner.frames - ownerBefore.frames) / seconds;
    shares.knowledgeTimes = fleet.knowledgeTimes();
    fleet.endSpell();
    fleet.run(2s);
    fleet.takeBadShare();
    fleet.run(2s);
    shares.after = fleet.takeBadShare() / fleet.badShareOfTargets();
    return shares;
}

} // namespace

// Guards against knowledge that spreads too late to be of use, or that stays when it is wrong.
TEST_CASE("The VMs of a domain avoid bad targets soon, and use them again soon")
{
    const std::size_t vms = GENERATE(21U, 27U, 77U);
    const SpellTerms spell = GENERATE(from_range(std::begin(Spells), std::end(Spells)));
    CapacityFleet::Terms terms;
    terms.vms = vms;
    terms.seed = GENERATE(1U, 2U, 3U);
    const Shares shared = play(terms, spell);
    terms.sharesCapacity = false;
    const Shares alone = play(terms, spell);
    const auto &times = shared.knowledgeTimes;
    REQUIRE_FALSE(times.empty());
    const auto median = std::chrono::duration<double, std::milli>(times[times.size() / 2]).count();
    INFO(spell.name << ", " << vms << " VMs, seed " << terms.seed << ": share during the spell "
                    << shared.during << " (alone " << alone.during << "), after it " << shared.after
                    << " (alone " << alone.after << "), median until known " << median
                    << " ms, bytes a second " << shared.bytesPerSecond << ", of the owner "
                    << shared.ownerBytesPerSecond << " in " << shared.ownerFramesPerSecond
                    << " frames");
    // Within about half a second of the first evidence; a frame may have to wait for the next
    // report.
    CHECK(median <= 500.0 + 200.0);
    CHECK(shared.during < alone.during);
    // From 2 s after the end on, the outlooks take nothing from the targets any more. Requests are
    // random, and what a VM remembers itself counts with and without sharing.
    CHECK(shared.after >= std::min(alone.after, 1.0) * 0.9);
    CHECK(shared.bytesPerSecond < 6000.0);
}

// Guards against spreading the ordinary pauses of all targets.
TEST_CASE("Pauses of targets do not count as slowness")
{
    CapacityFleet::Terms terms;
    terms.seed = GENERATE(range(1U, 6U));
    CapacityFleet fleet(terms);
    double slow = 0.0;
    double silent = 0.0;
    for (int i = 0; i < 40; ++i) {
        fleet.run(500ms);
        slow += fleet.shareWithOutlook(false, [](const auto &each) { return each.slowness > 1.0; });
        silent += fleet.shareWithOutlook(false, isUnresponsive);
    }
    INFO("seed " << terms.seed << ": slow " << slow / 40 << ", unresponsive " << silent / 40);
    CHECK(slow / 40 < 0.01);
    CHECK(silent / 40 < 0.01);
}

// Guards against a VM that reports nonsense, or that sees nothing but its own broken links.
TEST_CASE("One VM alone gets no target avoided by the others")
{
    CapacityFleet::Terms terms;
    terms.seed = GENERATE(range(1U, 4U));
    CapacityFleet fleet(terms);
    fleet.run(2s);
    SECTION("a VM that reports falsely")
    {
        fleet.makeFalse(3);
    }
    SECTION("a VM that is cut off from all targets")
    {
        fleet.cutFromTargets(3);
    }
    double silent = 0.0;
    for (int i = 0; i < 20; ++i) {
        fleet.run(500ms);
        silent += fleet.shareWithOutlook(false, isUnresponsive);
    }
    INFO("seed " << terms.seed << ": unresponsive " << silent / 20);
    CHECK(silent / 20 < 0.01);
}

// Guards against outlooks that outlive the owner, and a successor that learns nothing.
TEST_CASE("The next owner knows what the lost one knew")
{
    CapacityFleet::Terms terms;
    terms.seed = GENERATE(range(1U, 4U));
    CapacityFleet fleet(terms);
    fleet.run(2s);
    fleet.startSpell(Spell::Crash, 0.25);
    fleet.run(1s);
    CHECK(fleet.shareWithOutlook(true, isUnresponsive) > 0.5);
    fleet.cutOff(fleet.owner());
    SECTION("outlooks expire while there is no owner")
    {
        fleet.run(2s);
        CHECK(fleet.shareWithOutlook(true, isUnresponsive) == 0.0);
    }
    SECTION("the successor makes VMs avoid them")
    {
        fleet.run(2s);
        fleet.setOwner(1);
        fleet.run(500ms);
        fleet.takeBadShare();
        fleet.run(3s);
        terms.sharesCapacity = false;
        CapacityFleet alone(terms);
        alone.run(2s);
        alone.startSpell(Spell::Crash, 0.25);
        alone.run(3500ms);
        alone.takeBadShare();
        alone.run(3s);
        const double usualShare = alone.takeBadShare() / alone.badShareOfTargets();
        CHECK(fleet.takeBadShare() / fleet.badShareOfTargets() < usualShare / 2);
    }
    SECTION("the successor tells when targets respond again")
    {
        fleet.setOwner(1);
        fleet.run(1s);
        fleet.endSpell();
        // The last requests become overdue after the end.
        fleet.run(2s + CapacityFleet::OverdueAfter);
        CHECK(fleet.shareWithOutlook(true, isUnresponsive) < 0.01);
    }
}

// Guards against old reports that keep targets avoided.
TEST_CASE("An owner that is slow does not keep targets avoided for long")
{
    CapacityFleet::Terms terms;
    terms.seed = GENERATE(range(1U, 4U));
    CapacityFleet fleet(terms);
    fleet.setOwnerDelay(400ms);
    fleet.run(2s);
    fleet.startSpell(Spell::Crash, 0.25);
    fleet.run(3s);
    fleet.endSpell();
    // The lifetime of outlooks, the delay, and the time until a request is overdue and reported.
    fleet.run(2s + 400ms + 300ms);
    CHECK(fleet.shareWithOutlook(true, isUnresponsive) < 0.02);
}

// Guards against control traffic beyond the bound of the page for a VM, at the largest size.
TEST_CASE("Reports and news keep to the bytes that a VM may spend on control")
{
    CapacityFleet::Terms terms;
    terms.vms = 77;
    terms.targets = 2799;
    const SpellTerms spell = GENERATE(from_range(std::begin(Spells), std::end(Spells)));
    const Shares shares = play(terms, spell);
    INFO(spell.name << ": bytes a second " << shares.bytesPerSecond << ", of the owner "
                    << shares.ownerBytesPerSecond << " in " << shares.ownerFramesPerSecond
                    << " frames");
    CHECK(shares.bytesPerSecond < 6000.0);
}
