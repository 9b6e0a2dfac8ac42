#include "sardinehollow_policy/lookup/LookupPlanner.h"

#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_core/random/SeededRandom.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

using namespace sardinehollow;
using namespace sardinehollow::policy;

namespace {

struct Fixture
{
    config::Configuration configuration;
    PeerView peers;
    ShiftFractions fractions;

    LookupPlanner planner() const
    {
        return LookupPlanner(std::make_shared<config::Configuration>(configuration), peers,
                             fractions);
    }

    LookupAnswer plan(std::uint64_t caller, std::optional<std::uint32_t> site = 0,
                      const std::string &workKind = "look") const
    {
        return planner().plan(workKind, core::stableHash(std::to_string(caller)), site);
    }
};

/** Three regions with two failure domains each; far is nearer to west than to east. */
Fixture makeFixture(std::size_t vmsOfDomain = 4)
{
    Fixture fixture;
    fixture.configuration.generation = 7;
    fixture.configuration.answerLifetime = std::chrono::seconds(30);
    fixture.configuration.regions = {"east", "west", "far"};
    fixture.configuration.links = {{"east", "west", 1, std::chrono::microseconds(10)},
                                   {"east", "far", 1, std::chrono::microseconds(20)},
                                   {"far", "west", 1, std::chrono::microseconds(5)}};
    for (const std::string &region : fixture.configuration.regions) {
        for (const char *suffix : {"-a", "-b"}) {
            const std::string domain = region + suffix;
            fixture.configuration.failureDomains.push_back({domain, region});
            for (std::size_t index = 0; index < vmsOfDomain; ++index) {
                const std::string vm = domain + std::to_string(index);
                fixture.peers.peers.push_back(
                        {vm, 1, region, domain, vm + ":1", vm + ":2", false, 0.0, domain + "~1."});
            }
        }
    }
    fixture.configuration.sites = {{"east", {"east-a", "east-b"}}, {"west", {"west-a", "west-b"}}};
    fixture.configuration.shifts = {{"move",
                                     "east",
                                     {"look"},
                                     1.0,
                                     1.0,
                                     std::chrono::seconds(0),
                                     {{"west-b", 300}, {"far-a", 100}}}};
    return fixture;
}

std::vector<std::string> domainsOf(const LookupAnswer &answer)
{
    std::vector<std::string> domains;
    for (const EntryOption &entry : answer.entries) {
        if (domains.empty() || domains.back() != entry.failureDomain)
            domains.push_back(entry.failureDomain);
    }
    return domains;
}

void drain(Fixture &fixture, config::DrainTarget target, const std::string &name)
{
    fixture.configuration.drains.push_back({target, name});
}

} // namespace

TEST_CASE("Failure domains are in the site's order, then by latency, without drained or dead ones")
{
    struct Row
    {
        const char *situation;
        std::function<void(Fixture &)> change;
        std::optional<std::uint32_t> site;
        std::vector<std::string> domains;
    };
    using config::DrainTarget;
    const auto row = GENERATE(values<Row>({
            {"all well", [](Fixture &) {}, 0, {"east-a", "east-b"}},
            {"no client block", [](Fixture &) {}, std::nullopt, {"east-a", "east-b"}},
            {"unknown site", [](Fixture &) {}, 9, {"east-a", "east-b"}},
            {"first drained",
             [](Fixture &fixture) { drain(fixture, DrainTarget::FailureDomain, "east-a"); },
             0,
             {"east-b", "west-a"}},
            {"region drained",
             [](Fixture &fixture) { drain(fixture, DrainTarget::Region, "east"); },
             0,
             {"west-a", "west-b"}},
            {"nearest first",
             [](Fixture &fixture) { drain(fixture, DrainTarget::Region, "west"); },
             1,
             {"far-a", "far-b"}},
            {"first dead",
             [](Fixture &fixture) {
                 std::erase_if(fixture.peers.peers,
                               [](const Peer &peer) { return peer.failureDomain == "east-a"; });
             },
             0,
             {"east-b", "west-a"}},
            {"first leaving",
             [](Fixture &fixture) {
                 for (Peer &peer : fixture.peers.peers)
                     peer.leaving = peer.failureDomain == "east-a";
             },
             0,
             {"east-b", "west-a"}},
            {"one VM left",
             [](Fixture &fixture) {
                 for (const char *vm : {"east-a0", "east-a1", "east-a3"})
                     drain(fixture, DrainTarget::Vm, vm);
             },
             0,
             {"east-a", "east-b", "west-a"}},
            {"partitioned",
             [](Fixture &fixture) {
                 std::erase_if(fixture.peers.peers,
                               [](const Peer &peer) { return peer.failureDomain != "far-b"; });
             },
             0,
             {"far-b"}},
            {"nobody", [](Fixture &fixture) { fixture.peers.peers.clear(); }, 0, {}},
    }));
    CAPTURE(row.situation);
    Fixture fixture = makeFixture();
    row.change(fixture);
    const LookupAnswer answer = fixture.plan(1, row.site);
    REQUIRE(domainsOf(answer) == row.domains);
    REQUIRE(answer.generation == 7);
    REQUIRE(answer.lifetime == std::chrono::seconds(30));
    REQUIRE(answer.claimScope == (row.domains.empty() ? "" : row.domains[0] + "~1."));
}

TEST_CASE("An answer is bounded, unique, usable, spread over failure domains and stable")
{
    REQUIRE(rc::check("answers", [](std::uint64_t seed) {
        core::SeededRandom random(seed);
        Fixture fixture = makeFixture(random.nextBelow(6));
        std::set<std::string> usable;
        std::set<std::string> domains;
        for (Peer &peer : fixture.peers.peers) {
            peer.leaving = random.nextBelow(4) == 0;
            peer.load = random.nextUnit();
            const bool drained = random.nextBelow(4) == 0;
            if (drained)
                drain(fixture, config::DrainTarget::Vm, peer.vm);
            if (peer.leaving || drained)
                continue;
            usable.insert(peer.callerAddress);
            domains.insert(peer.failureDomain);
        }
        fixture.fractions["move"] = random.nextUnit();
        for (std::uint64_t caller = 0; caller < 20; ++caller) {
            const LookupAnswer answer = fixture.plan(caller);
            RC_ASSERT(answer.entries == fixture.plan(caller).entries);
            std::set<std::string> addresses;
            std::set<std::string> used;
            for (const EntryOption &entry : answer.entries) {
                RC_ASSERT(usable.count(entry.address) == 1);
                addresses.insert(entry.address);
                used.insert(entry.failureDomain);
            }
            RC_ASSERT(addresses.size() == answer.entries.size());
            RC_ASSERT(addresses.size() <= LookupPlanner::maxEntries);
            RC_ASSERT(used.size() >= std::min<std::size_t>(domains.size(), 2));
        }
    }));
}

TEST_CASE("Callers spread over the VMs of a failure domain in proportion to their spare capacity")
{
    struct Row
    {
        double load;
        double share;
    };
    const auto row = GENERATE(values<Row>({{0.0, 0.25}, {0.5, 0.143}, {0.9, 0.032}, {0.1, 0.25}}));
    Fixture fixture = makeFixture();
    fixture.peers.peers[0].load = row.load;
    const LookupPlanner planner = fixture.planner();
    std::map<std::string, int> first;
    constexpr int callers = 20000;
    for (int caller = 0; caller < callers; ++caller) {
        const std::uint64_t hash = core::stableHash(std::to_string(caller));
        ++first[planner.plan("look", hash, 0).entries.at(0).address];
    }
    REQUIRE(first.size() == 4);
    REQUIRE(first["east-a0:1"] / static_cast<double>(callers) == Approx(row.share).margin(0.012));
}

TEST_CASE("The loss of a VM changes only the answers that contained it")
{
    const Fixture before = makeFixture();
    Fixture after = before;
    after.peers.peers.erase(after.peers.peers.begin() + 1);
    for (std::uint64_t caller = 0; caller < 300; ++caller) {
        const LookupAnswer answer = before.plan(caller);
        const bool used
                = std::any_of(answer.entries.begin(), answer.entries.end(),
                              [](const auto &entry) { return entry.address == "east-a1:1"; });
        CAPTURE(caller);
        REQUIRE((answer.entries == after.plan(caller).entries) == !used);
    }
}

TEST_CASE("A shift moves its fraction of the region's callers to its destinations by their caps")
{
    struct Row
    {
        const char *situation;
        double fraction;
        std::uint32_t site;
        std::string workKind;
        const char *drained;
        double toWest;
        double toFar;
    };
    const auto row = GENERATE(values<Row>({
            {"not begun", 0.0, 0, "look", "", 0.0, 0.0},
            {"partial", 0.4, 0, "look", "", 0.3, 0.1},
            {"done", 1.0, 0, "look", "", 0.75, 0.25},
            {"callers of another region", 1.0, 1, "look", "", 0.0, 0.0},
            {"another work kind", 1.0, 0, "post", "", 0.0, 0.0},
            {"one destination drained", 0.4, 0, "look", "west-b", 0.0, 0.4},
    }));
    CAPTURE(row.situation);
    Fixture fixture = makeFixture();
    fixture.fractions["move"] = row.fraction;
    if (*row.drained != '\0')
        drain(fixture, config::DrainTarget::FailureDomain, row.drained);
    const LookupPlanner planner = fixture.planner();
    constexpr int callers = 5000;
    std::map<std::string, double> shares;
    for (int caller = 0; caller < callers; ++caller) {
        const std::uint64_t hash = core::stableHash(std::to_string(caller));
        const LookupAnswer answer = planner.plan(row.workKind, hash, row.site);
        shares[answer.entries.at(0).failureDomain] += 1.0 / callers;
        const bool moved = answer.entries[0].region != (row.site == 0 ? "east" : "west");
        REQUIRE((planner.shiftOf(row.workKind, hash, row.site) != nullptr) == moved);
    }
    REQUIRE(shares["west-b"] == Approx(row.toWest).margin(0.02));
    REQUIRE(shares["far-a"] == Approx(row.toFar).margin(0.02));
}

TEST_CASE("A growing fraction moves further callers and moves none back")
{
    Fixture fixture = makeFixture();
    for (std::uint64_t caller = 0; caller < 200; ++caller) {
        bool moved = false;
        for (const double fraction : {0.1, 0.5, 0.9}) {
            fixture.fractions["move"] = fraction;
            const bool moves = fixture.plan(caller).entries.at(0).region != "east";
            REQUIRE((moves || !moved));
            moved = moves;
        }
    }
}

TEST_CASE("A shift without a usable destination moves no callers")
{
    Fixture fixture = makeFixture();
    fixture.fractions["move"] = 1.0;
    drain(fixture, config::DrainTarget::Region, "west");
    drain(fixture, config::DrainTarget::Region, "far");
    REQUIRE(domainsOf(fixture.plan(1)) == std::vector<std::string> {"east-a", "east-b"});
}
