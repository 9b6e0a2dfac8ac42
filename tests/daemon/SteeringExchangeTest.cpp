#include "sardinehollow_daemon/steering/SteeringExchange.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "sardinehollow_core/time/ManualClock.h"
#include "sardinehollow_daemon/steering/SteeringMessages.h"
#include "support/ExampleConfiguration.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

using policy::AttemptOutcome;
using policy::RefusalReason;

/** Stores the messages that a daemon sends until the test delivers them. */
class FakeTransport : public peer::PeerTransport
{
public:
    void send(const std::string &vm, peer::wire::Envelope envelope) override
    {
        sent.push_back({vm, std::move(envelope)});
    }

    peer::OutgoingMessages sent;
};

std::shared_ptr<const config::Configuration> makeConfiguration()
{
    auto configuration = config::readConfiguration(tests::exampleConfiguration);
    REQUIRE(configuration);
    configuration->generation = 1;
    // Both backend servers are in one failure domain, because a quarantine needs two servers.
    config::BackendServer &second = configuration->pools.front().backendServers.at(1);
    second.failureDomain = "east-a";
    return std::make_shared<const config::Configuration>(std::move(*configuration));
}

policy::PolicySettings policySettings()
{
    policy::PolicySettings settings;
    settings.ownershipLease = 24h;
    settings.ownershipHoldOff = core::Duration(0);
    settings.slowStartFraction = 1.0;
    settings.maxAvoidedShare = 0.0;
    return settings;
}

struct Daemon
{
    explicit Daemon(const core::MonotonicClock &clock)
        : exchange(policy, transport, clock)
    {
        policy.applyConfiguration(makeConfiguration());
    }

    FakeTransport transport;
    policy::SteeringPolicy policy {policySettings()};
    daemon::SteeringExchange exchange;
};

/** Simulates daemons named after their failure domains; delivers messages in the same step. */
class Simulation
{
public:
    explicit Simulation(const std::vector<std::pair<std::string, std::size_t>> &domains)
    {
        for (const auto &[domain, count] : domains) {
            for (std::size_t number = 1; number <= count; ++number) {
                policy::Peer peer;
                peer.vm = domain + "-" + std::to_string(number);
                peer.incarnation = 1;
                peer.region = domain.substr(0, 4);
                peer.failureDomain = domain;
                m_peers.push_back(peer);
            }
        }
        for (const policy::Peer &peer : m_peers)
            daemons[peer.vm] = std::make_unique<Daemon>(clock);
        publishPeers();
    }

    /** Gives a daemon a new incarnation in the views of the others. */
    void restart(const std::string &vm)
    {
        for (policy::Peer &peer : m_peers)
            peer.incarnation += peer.vm == vm ? 1 : 0;
        publishPeers();
    }

    void run(core::Duration duration)
    {
        for (const core::Instant until = clock.now() + duration; clock.now() < until;) {
            clock.advance(50ms);
            for (auto &[vm, daemon] : daemons)
                daemon->exchange.advance();
            deliver();
        }
    }

    /** Makes requests of a fingerprint break a daemon's connections to both backend servers. */
    void causeQuarantine(const std::string &vm, std::uint64_t fingerprint)
    {
        policy::SteeringPolicy &policy = daemons.at(vm)->policy;
        // As the only daemon of its failure domain, the daemon owns both servers.
        auto alone = std::make_shared<policy::PeerView>();
        for (const policy::Peer &peer : m_peers) {
            if (peer.vm == vm)
                alone->peers.push_back(peer);
        }
        policy.onPeers(alone);
        policy.advance(clock.now());
        std::vector<core::RequestId> running;
        for (std::size_t slot = 0; slot < 4; ++slot)
            running.push_back(policy.offer(request(fingerprint)).id);
        for (const core::RequestId &id : running) {
            policy::AttemptReport report;
            report.id = id;
            report.outcome = AttemptOutcome::ConnectionLost;
            report.now = clock.now();
            policy.complete(report);
        }
        publishPeers();
    }

    bool refuses(const std::string &vm, std::uint64_t fingerprint)
    {
        return daemons.at(vm)->policy.offer(request(fingerprint)).reason
                == RefusalReason::Quarantined;
    }

    /** Returns the number of notice entries that a daemon sent to another. */
    std::size_t noticeEntries(const std::string &from, const std::string &to) const
    {
        std::size_t entries = 0;
        for (const auto &[sender, message] : log) {
            if (sender == from && message.vm == to)
                entries += static_cast<std::size_t>(
                        message.envelope.quarantine_notice().fingerprints_size());
        }
        return entries;
    }

    std::size_t count(peer::wire::Envelope::BodyCase body) const
    {
        return static_cast<std::size_t>(
                std::count_if(log.begin(), log.end(), [body](const auto &item) {
                    return item.second.envelope.body_case() == body;
                }));
    }

    std::uint64_t counter(const std::string &vm, const std::string &name) const
    {
        const std::string text = daemons.at(vm)->exchange.metricsText();
        const std::string key = "sardinehollow_steering_" + name + " ";
        const std::size_t position = text.find(key);
        REQUIRE(position != std::string::npos);
        return std::stoull(text.substr(position + key.size()));
    }

    core::ManualClock clock;
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
    std::vector<std::pair<std::string, peer::OutgoingMessage>> log;

private:
    policy::RequestOffer request(std::uint64_t fingerprint)
    {
        policy::RequestOffer offer;
        offer.id = {1, ++m_sequence};
        offer.workKind = "post";
        offer.fingerprint = fingerprint;
        offer.arrival = clock.now();
        offer.deadline = clock.now() + 10s;
        return offer;
    }

    void publishPeers()
    {
        for (std::size_t self = 0; self < m_peers.size(); ++self) {
            auto view = std::make_shared<policy::PeerView>();
            view->peers = m_peers;
            view->self = self;
            policy::SteeringPolicy &policy = daemons.at(m_peers[self].vm)->policy;
            policy.onPeers(view);
            policy.advance(clock.now());
        }
    }

    void deliver()
    {
        for (auto &[vm, daemon] : daemons) {
            for (peer::OutgoingMessage &message : std::exchange(daemon->transport.sent, {})) {
                message.envelope.set_sender_id(vm);
                daemons.at(message.vm)->exchange.onMessage(message.envelope);
                log.emplace_back(vm, std::move(message));
            }
        }
    }

    std::vector<policy::Peer> m_peers;
    std::uint64_t m_sequence = 0;
};

policy::PoolSummary makeSummary()
{
    policy::PoolSummary summary;
    summary.vm = "east-a-2";
    summary.pool = "main";
    summary.ranks = {{2, 0ms}, {0, 15ms}, {0, core::Duration::max()}};
    summary.inFlightElsewhere = {{"b1", 3}};
    return summary;
}

peer::wire::PoolSummaries makeMessage()
{
    peer::wire::PoolSummaries message;
    *message.add_pools() = daemon::toWire(makeSummary());
    return message;
}

} // namespace

// Guards against values that change between sender and receiver, such as an unlimited wait.
TEST_CASE("Summaries are unchanged after serialisation and parsing")
{
    const auto entries
            = daemon::fromWire(makeMessage(), "east-a-2", "east-a", *makeConfiguration());
    REQUIRE(entries.dropped == 0);
    REQUIRE(entries.accepted.size() == 1);
    const policy::PoolSummary &received = entries.accepted.front();
    const policy::PoolSummary expected = makeSummary();
    REQUIRE(received.vm == expected.vm);
    REQUIRE(received.pool == expected.pool);
    REQUIRE(received.inFlightElsewhere == expected.inFlightElsewhere);
    REQUIRE(received.ranks.size() == expected.ranks.size());
    for (std::size_t rank = 0; rank < expected.ranks.size(); ++rank) {
        REQUIRE(received.ranks[rank].freeSlots == expected.ranks[rank].freeSlots);
        REQUIRE(received.ranks[rank].wait == expected.ranks[rank].wait);
    }
}

// Guards against a peer whose numbers would block servers or exhaust memory.
TEST_CASE("Malformed summaries are dropped and counted")
{
    using Message = peer::wire::PoolSummaries;
    struct Case
    {
        const char *name;
        std::function<void(Message &)> change;
        std::uint64_t dropped;
    };
    const auto minusOne = static_cast<std::uint32_t>(-1);
    const std::vector<Case> cases {
            {"unknown pool", [](Message &m) { m.mutable_pools(0)->set_name("other"); }, 1},
            {"rank missing", [](Message &m) { m.mutable_pools(0)->clear_waits(); }, 1},
            {"rank too many",
             [](Message &m) {
                 m.mutable_pools(0)->add_free_slots(1);
                 m.mutable_pools(0)->add_waits(1);
             },
             1},
            {"negative slots", [=](Message &m) { m.mutable_pools(0)->set_free_slots(0, minusOne); },
             1},
            {"huge slots", [](Message &m) { m.mutable_pools(0)->set_free_slots(0, 20'001); }, 1},
            {"negative wait", [=](Message &m) { m.mutable_pools(0)->set_waits(0, minusOne); }, 1},
            {"huge wait", [](Message &m) { m.mutable_pools(0)->set_waits(0, 600'002); }, 1},
            {"unknown server",
             [](Message &m) {
                 m.mutable_pools(0)->mutable_in_flight_elsewhere(0)->set_backend_server("b9");
             },
             1},
            {"huge number in flight",
             [](Message &m) {
                 m.mutable_pools(0)->mutable_in_flight_elsewhere(0)->set_requests(10'001);
             },
             1},
            {"too many servers",
             [](Message &m) {
                 for (int copy = 0; copy < 2; ++copy)
                     *m.mutable_pools(0)->add_in_flight_elsewhere()
                             = m.pools(0).in_flight_elsewhere(0);
             },
             1},
            {"too many pools",
             [](Message &m) {
                 const Message::Pool pool = m.pools(0);
                 *m.add_pools() = pool;
             },
             2},
    };
    for (const Case &item : cases) {
        INFO(item.name);
        peer::wire::PoolSummaries message = makeMessage();
        item.change(message);
        const auto entries = daemon::fromWire(message, "east-a-2", "east-a", *makeConfiguration());
        REQUIRE(entries.accepted.empty());
        REQUIRE(entries.dropped == item.dropped);
    }
}

// Guards against notices with an unlimited quarantine time or an unlimited number of entries.
TEST_CASE("Malformed quarantine notices are dropped and counted")
{
    struct Case
    {
        const char *name;
        std::vector<std::uint64_t> fingerprints;
        std::vector<std::uint32_t> remaining;
        std::size_t accepted;
        std::uint64_t dropped;
    };
    const auto repeated = [](std::size_t count) { return std::vector<std::uint64_t>(count, 7); };
    const std::vector<Case> cases {
            {"well formed", {7, 8}, {1, 600'000}, 2, 0},
            {"no fingerprint", {0, 8}, {1000, 1000}, 1, 1},
            {"expired", {7}, {0}, 0, 1},
            {"too long", {7}, {600'001}, 0, 1},
            {"negative time", {7}, {static_cast<std::uint32_t>(-1)}, 0, 1},
            {"unequal lists", {7, 8}, {1000}, 0, 2},
            {"as many as allowed", repeated(64), std::vector<std::uint32_t>(64, 1000), 64, 0},
            {"too many", repeated(65), std::vector<std::uint32_t>(65, 1000), 0, 65},
    };
    for (const Case &item : cases) {
        INFO(item.name);
        peer::wire::QuarantineNotice notice;
        for (const std::uint64_t fingerprint : item.fingerprints)
            notice.add_fingerprints(fingerprint);
        for (const std::uint32_t remaining : item.remaining)
            notice.add_remaining_ms(remaining);
        const auto entries = daemon::fromWire(notice);
        REQUIRE(entries.accepted.size() == item.accepted);
        REQUIRE(entries.dropped == item.dropped);
    }
}

// Guards against summaries of daemons that own no slots in this failure domain.
TEST_CASE("Summaries are accepted from daemons of the local failure domain only")
{
    Simulation simulation({{"east-a", 2}, {"west-a", 1}});
    for (const auto &[sender, dropped] : std::vector<std::pair<std::string, std::uint64_t>> {
                 {"east-a-2", 0}, {"west-a-1", 1}, {"unknown", 2}, {"east-a-1", 3}}) {
        INFO(sender);
        peer::wire::Envelope envelope;
        envelope.set_sender_id(sender);
        *envelope.mutable_pool_summaries() = makeMessage();
        simulation.daemons.at("east-a-1")->exchange.onMessage(envelope);
        REQUIRE(simulation.counter("east-a-1", "dropped_summaries_total") == dropped);
    }
}

// Guards against a rate above the limit, and against summaries that expire while nothing changes.
TEST_CASE("Summaries are refreshed within their lifetime and not sent to other failure domains")
{
    Simulation simulation({{"east-a", 2}, {"west-a", 1}});
    simulation.run(9s);
    const std::size_t sent = simulation.count(peer::wire::Envelope::kPoolSummaries);
    // Two daemons, one message each in 900 ms.
    REQUIRE(sent >= 18);
    REQUIRE(sent <= 22);
    for (const auto &[sender, message] : simulation.log)
        REQUIRE(message.vm.substr(0, 6) == "east-a");
    REQUIRE(simulation.counter("east-a-1", "dropped_summaries_total") == 0);
}

// Guards against one message for each request while the numbers change continuously.
TEST_CASE("Changing summaries are sent at a bounded rate")
{
    struct Case
    {
        std::size_t daemons;
        core::Duration interval;
    };
    for (const Case &item : std::vector<Case> {{2, 200ms}, {13, 300ms}, {30, 500ms}}) {
        INFO(item.daemons);
        Simulation simulation({{"east-a", item.daemons}});
        daemon::SummaryAnnouncer announcer;
        policy::PoolSummary summary = makeSummary();
        const auto view = simulation.daemons.at("east-a-1")->policy.peers();
        std::vector<core::Instant> times;
        for (core::Instant now {0}; now < 10s; now += 10ms) {
            ++summary.ranks[0].freeSlots;
            if (!announcer.advance({summary}, *view, now).empty())
                times.push_back(now);
        }
        REQUIRE(times.size() > 10'000 / 520);
        for (std::size_t index = 1; index < times.size(); ++index) {
            REQUIRE(times[index] - times[index - 1] >= item.interval);
            REQUIRE(times[index] - times[index - 1] <= 500ms);
        }
    }
}

// Guards against receivers that announce an entry again, which would extend a quarantine without
// end, and against repeated notices.
TEST_CASE("A quarantine is announced once to each daemon and never by its receivers")
{
    struct Case
    {
        std::size_t west;
        std::size_t direct;
    };
    // Up to 32 daemons of other failure domains are sent the notice directly, else one of each
    // domain.
    for (const Case &item : std::vector<Case> {{3, 3}, {32, 32}, {33, 1}}) {
        INFO(item.west);
        Simulation simulation({{"east-a", 3}, {"west-a", item.west}});
        simulation.run(1s);
        simulation.causeQuarantine("east-a-1", 7);
        REQUIRE(simulation.daemons.at("east-a-1")->policy.quarantine(simulation.clock.now()).size()
                == 1);
        simulation.run(5s);
        REQUIRE(simulation.noticeEntries("east-a-1", "east-a-2") == 1);
        REQUIRE(simulation.noticeEntries("east-a-1", "east-a-3") == 1);
        std::size_t direct = 0;
        for (const auto &[vm, daemon] : simulation.daemons) {
            INFO(vm);
            REQUIRE(simulation.refuses(vm, 7));
            REQUIRE(simulation.noticeEntries("east-a-2", vm) == 0);
            if (vm.substr(0, 4) == "west")
                direct += simulation.noticeEntries("east-a-1", vm);
        }
        REQUIRE(direct == item.direct);
        const std::size_t notices = simulation.count(peer::wire::Envelope::kQuarantineNotice);
        // Redistribution reaches each daemon of the other failure domain exactly once.
        REQUIRE(notices == 2 + item.west);

        simulation.run(70s);
        REQUIRE(simulation.count(peer::wire::Envelope::kQuarantineNotice) == notices);
        REQUIRE_FALSE(simulation.refuses("east-a-2", 7));
        simulation.causeQuarantine("east-a-1", 7);
        simulation.run(5s);
        REQUIRE(simulation.count(peer::wire::Envelope::kQuarantineNotice) == 2 * notices);
    }
}

// Guards against a restarted daemon that does not refuse the quarantined fingerprints.
TEST_CASE("A restarted daemon is sent the quarantine again")
{
    Simulation simulation({{"east-a", 3}});
    simulation.causeQuarantine("east-a-1", 7);
    simulation.run(5s);
    simulation.restart("east-a-2");
    simulation.run(5s);
    REQUIRE(simulation.noticeEntries("east-a-1", "east-a-2") == 2);
    REQUIRE(simulation.noticeEntries("east-a-1", "east-a-3") == 1);
}

// Guards against many fingerprints using up the budget for control messages.
TEST_CASE("Notices are bounded in size and rate")
{
    Simulation simulation({{"east-a", 13}});
    const auto view = simulation.daemons.at("east-a-1")->policy.peers();
    std::vector<policy::QuarantineEntry> own;
    for (std::uint64_t fingerprint = 1; fingerprint <= 1024; ++fingerprint)
        own.push_back({fingerprint, 60s});
    struct Case
    {
        const char *name;
        bool passedOn;
    };
    for (const Case &item : std::vector<Case> {{"own", false}, {"passed on", true}}) {
        INFO(item.name);
        daemon::QuarantineAnnouncer announcer;
        if (item.passedOn)
            announcer.redistribute(own, core::Instant(0));
        std::size_t bytes = 0;
        std::size_t entries = 0;
        for (core::Instant now {0}; now < 59s; now += 50ms) {
            const std::vector<policy::QuarantineEntry> found
                    = item.passedOn ? std::vector<policy::QuarantineEntry> {} : own;
            for (const peer::OutgoingMessage &message : announcer.advance(found, *view, now)) {
                const auto &notice = message.envelope.quarantine_notice();
                REQUIRE(notice.fingerprints_size() <= 64);
                entries += static_cast<std::size_t>(notice.fingerprints_size());
                bytes += message.envelope.ByteSizeLong();
            }
        }
        REQUIRE(entries > 0);
        REQUIRE(entries <= 12 * (item.passedOn ? 256U : 1024U));
        // 1 KB/s for 59 s, plus the first notice.
        REQUIRE(bytes <= 59'000 + 12'000);
    }
}
