#include "Simulation.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::bench {

namespace {

using namespace std::chrono_literals;
using policy::AttemptOutcome;
using policy::DecisionKind;

constexpr core::Duration advanceInterval = 5ms;
constexpr core::Duration summaryInterval = 500ms;
constexpr core::Duration pollInterval = 500ms;
constexpr core::Duration failureDetectionTime = 2s;
// A new configuration reaches each daemon within this time.
constexpr core::Duration configurationSpread = 1s;
constexpr std::uint64_t callerCount = 200;
// One in this many requests comes from the same heavy caller, which exercises the fairness between
// callers.
constexpr std::uint64_t requestsPerHeavyCall = 4;
constexpr std::uint64_t crashingFingerprint = 4711;
constexpr std::uint32_t crashingRequestCount = 12;

core::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double exponential(core::RandomSource &random)
{
    return -std::log(1.0 - random.nextUnit());
}

bool didNotRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::ConnectFailed;
}

double percentileMs(std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0.0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index] * 1e3;
}

} // namespace

Simulation::Simulation(const BenchDeployment &deployment, const Scenario &scenario,
                       const std::string &policyName, std::uint64_t seed)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_arrivalRandom(core::combineHashes(seed, core::stableHash(scenario.name)))
    , m_routeRandom(core::combineHashes(seed, core::stableHash(scenario.name + "/routes")))
{
    m_result.deployment = deployment.name;
    m_result.scenario = scenario.name;
    m_result.policy = policyName;
    createServers(seed);
    createDaemons(policyName, seed);
}

BenchResult Simulation::run()
{
    publishPeers(0s);
    for (std::size_t daemon = 0; daemon < m_daemons.size(); ++daemon) {
        scheduleAdvance(daemon);
        exchangeSummaries(daemon);
        pollServers(daemon);
    }
    for (std::size_t kind = 0; kind < m_deployment.kinds.size(); ++kind)
        scheduleArrival(kind);
    scheduleFaults();
    m_events.run(m_scenario.end);

    for (std::size_t kind = 0; kind < m_deployment.kinds.size(); ++kind)
        m_result.rows.push_back(row(kind));
    m_result.rows.push_back(totalRow());
    std::map<std::string, std::uint64_t> &counts = m_result.mustBeZero;
    counts["capExcess"] += 0;
    counts["falseNotRun"] += 0;
    for (const auto &server : m_servers) {
        counts["slotsExceeded"] += server->slotsExceeded();
        counts["workToLeavingServer"] += server->requestsAfterLeave();
    }
    for (const Request &request : m_requests) {
        const bool idempotent = m_deployment.configuration.workKinds[request->kind].idempotent;
        counts["duplicateRuns"] += !idempotent && request->runs > 1 ? 1 : 0;
    }
    return m_result;
}

void Simulation::createServers(std::uint64_t seed)
{
    for (const config::BackendServer &server :
         m_deployment.configuration.pools.front().backendServers) {
        const std::size_t index = m_servers.size();
        m_servers.push_back(std::make_unique<FakeServer>(
                m_events, server, core::combineHashes(seed, core::stableHash(server.name))));
        m_servers.back()->setEndHandler(
                [this, index](const FakeServer::Attempt &attempt, AttemptOutcome outcome) {
                    serverEnded(index, attempt, outcome);
                });
        m_serverIndex[server.name] = index;
    }
}

void Simulation::createDaemons(const std::string &policyName, std::uint64_t seed)
{
    const auto configuration
            = std::make_shared<const config::Configuration>(m_deployment.configuration);
    for (const config::FailureDomain &domain : configuration->failureDomains) {
        for (std::uint32_t index = 0; index < m_deployment.daemonsPerDomain; ++index) {
            FakeDaemon daemon;
            daemon.peer.vm = domain.name + "-" + std::to_string(index + 1);
            daemon.peer.incarnation = m_daemons.size() + 1;
            daemon.peer.region = domain.region;
            daemon.peer.failureDomain = domain.name;
            daemon.policy = makePolicy(policyName, core::combineHashes(seed, m_daemons.size()));
            daemon.policy->applyConfiguration(configuration);
            m_daemons.push_back(std::move(daemon));
        }
    }
}

void Simulation::scheduleFaults()
{
    const std::string region = m_deployment.configuration.regions.back();
    const core::Instant at = m_scenario.measureFrom;
    if (m_scenario.loseRegion)
        m_events.after(at, [this, region] { loseRegion(region); });
    if (m_scenario.drainRegion)
        m_events.after(at, [this, region] { drainRegion(region); });
    if (m_scenario.loseDaemon)
        m_events.after(at, [this] { killDaemon(0); });
    if (m_scenario.pause.count() > 0)
        m_events.after(at, [this] { pauseDaemon(0, m_scenario.pause); });
    if (m_scenario.crashingRequest)
        m_events.after(at, [this] { sendCrashing(crashingRequestCount); });
    for (std::size_t index = 0; index < m_servers.size(); ++index) {
        FakeServer &server = *m_servers[index];
        server.setLostResponses(m_scenario.lostResponses);
        if (m_scenario.falseReports)
            server.setFalseReport(static_cast<FakeServer::FalseReport>(index % 3));
        if (m_scenario.faultyServers && index % 8 == 3)
            m_events.after(at, [&server] { server.setSlowdown(5.0); });
        if (m_scenario.faultyServers && index % 16 == 7) {
            m_events.after(at, [&server] { server.crash(); });
            m_events.after(at + 4s, [&server] { server.restart(); });
        }
        if (m_scenario.crashingRequest)
            m_events.after(at + 5s, [&server] { server.restart(); });
        if (m_scenario.rollingLeave && index % 4 == 0)
            m_events.after(at + index * 100ms, [&server] { server.leave(); });
    }
}

double Simulation::rate(std::size_t kind) const
{
    double rate = m_deployment.kinds[kind].rate;
    for (const Scenario::Surge &surge : m_scenario.surges) {
        if (surge.kind == kind && m_events.now() >= surge.from && m_events.now() < surge.to)
            rate *= surge.factor;
    }
    return rate;
}

void Simulation::scheduleArrival(std::size_t kind)
{
    // The rate stays the same until the next arrival. Thinning would be exact at the edges of a
    // surge, but the error of one gap is negligible.
    if (m_events.now() >= m_scenario.arrivalsUntil)
        return;
    m_events.after(fromSeconds(exponential(m_arrivalRandom) / rate(kind)), [this, kind] {
        arrive(kind);
        scheduleArrival(kind);
    });
}

void Simulation::arrive(std::size_t kind)
{
    auto request = std::make_shared<BenchRequest>();
    request->number = m_requests.size() + 1;
    request->kind = kind;
    request->region = m_arrivalRandom.nextBelow(m_deployment.configuration.regions.size());
    const bool heavy = m_arrivalRandom.nextBelow(requestsPerHeavyCall) == 0;
    request->callerHash = heavy ? 1 : 2 + m_arrivalRandom.nextBelow(callerCount);
    request->fingerprint = request->number;
    request->sent = m_events.now();
    request->deadline = m_events.now() + m_deployment.configuration.workKinds[kind].defaultDeadline;
    const double spread = 0.5 + 0.5 * exponential(m_arrivalRandom);
    request->serviceTime = fromSeconds(toSeconds(m_deployment.kinds[kind].serviceTime) * spread);
    m_requests.push_back(request);
    const std::optional<std::size_t> entry = chooseEntry(request->region);
    if (!entry)
        return;
    FakeDaemon::PendingRequest pending;
    pending.request = request;
    const bool sameRegion
            = m_daemons[*entry].peer.region == m_deployment.configuration.regions[request->region];
    const core::Duration delay = m_deployment.clientLatency
            + (sameRegion ? core::Duration(0) : m_deployment.regionLatency);
    deliver(*entry, delay, [this, entry, pending] { accept(*entry, pending); });
}

void Simulation::sendCrashing(std::uint32_t times)
{
    if (times == 0)
        return;
    auto request = std::make_shared<BenchRequest>();
    request->number = m_requests.size() + 1;
    request->callerHash = 1;
    request->fingerprint = crashingFingerprint;
    request->crashesServer = true;
    request->sent = m_events.now();
    request->deadline = m_events.now() + 1s;
    m_requests.push_back(request);
    if (const std::optional<std::size_t> entry = chooseEntry(0)) {
        FakeDaemon::PendingRequest pending;
        pending.request = request;
        deliver(*entry, m_deployment.clientLatency,
                [this, entry, pending] { accept(*entry, pending); });
    }
    m_events.after(300ms, [this, times] { sendCrashing(times - 1); });
}

std::optional<std::size_t> Simulation::chooseEntry(std::size_t region)
{
    std::vector<std::size_t> near;
    std::vector<std::size_t> far;
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        const FakeDaemon &daemon = m_daemons[index];
        // A caller that cannot connect to an entry VM tries the next one at once.
        if (!daemon.alive || daemon.peer.leaving)
            continue;
        const bool isNear = daemon.peer.region == m_deployment.configuration.regions[region];
        (isNear ? near : far).push_back(index);
    }
    const std::vector<std::size_t> &entries = near.empty() ? far : near;
    if (entries.empty())
        return std::nullopt;
    return entries[m_routeRandom.nextBelow(entries.size())];
}

void Simulation::deliver(std::size_t daemon, core::Duration delay, std::function<void()> action)
{
    m_events.after(delay, [this, daemon, action = std::move(action)] {
        if (!m_daemons[daemon].alive)
            return;
        if (m_daemons[daemon].paused)
            m_daemons[daemon].deferred.push_back(action);
        else
            action();
    });
}

void Simulation::accept(std::size_t daemon, FakeDaemon::PendingRequest pending)
{
    FakeDaemon &self = m_daemons[daemon];
    policy::RequestOffer offer;
    offer.id = {self.peer.incarnation, ++self.sequence};
    offer.workKind = m_deployment.kinds[pending.request->kind].name;
    offer.callerHash = pending.request->callerHash;
    offer.fingerprint = pending.request->fingerprint;
    offer.arrival = m_events.now();
    offer.deadline = pending.request->deadline;
    offer.forwarded = pending.forwarded;
    if (pending.forwarded)
        offer.originFailureDomain = m_daemons[pending.origin].peer.failureDomain;
    pending.accepted = m_events.now();
    self.pending.emplace(offer.id, std::move(pending));
    handle(daemon, self.policy->offer(offer));
}

void Simulation::handleAll(std::size_t daemon, const std::vector<policy::Decision> &decisions)
{
    for (const policy::Decision &decision : decisions)
        handle(daemon, decision);
}

void Simulation::handle(std::size_t daemon, const policy::Decision &decision)
{
    switch (decision.kind) {
    case DecisionKind::Dispatch:
        dispatch(daemon, decision);
        break;
    case DecisionKind::Forward:
        forward(daemon, decision);
        break;
    case DecisionKind::Hold:
        break;
    case DecisionKind::Refuse:
        finish(daemon, decision, AttemptOutcome::NotRun);
        break;
    case DecisionKind::Finish: {
        const auto pending = m_daemons[daemon].pending.find(decision.id);
        if (pending != m_daemons[daemon].pending.end())
            finish(daemon, decision, pending->second.lastOutcome);
        break;
    }
    }
}

void Simulation::dispatch(std::size_t daemon, const policy::Decision &decision)
{
    FakeDaemon &self = m_daemons[daemon];
    const std::size_t server = m_serverIndex.at(decision.backendServer);
    auto attempt = std::make_shared<BenchAttempt>();
    attempt->request = self.pending.at(decision.id).request;
    attempt->daemon = daemon;
    attempt->id = decision.id;
    attempt->number = decision.attempt;
    attempt->started = m_events.now();
    self.attempts[decision.id] = {server, attempt};
    const core::Duration delay
            = latency(self.peer.failureDomain, m_servers[server]->server().failureDomain);
    m_events.after(delay, [this, server, attempt] { m_servers[server]->arrive(attempt); });
}

void Simulation::forward(std::size_t daemon, const policy::Decision &decision)
{
    const auto target
            = std::find_if(m_daemons.begin(), m_daemons.end(),
                           [&](const FakeDaemon &item) { return item.peer.vm == decision.peer; });
    const auto index = static_cast<std::size_t>(target - m_daemons.begin());
    FakeDaemon::PendingRequest pending;
    pending.request = m_daemons[daemon].pending.at(decision.id).request;
    pending.forwarded = true;
    pending.origin = daemon;
    pending.originId = decision.id;
    pending.originAttempt = decision.attempt;
    const core::Duration delay
            = latency(m_daemons[daemon].peer.failureDomain, target->peer.failureDomain);
    if (target->alive) {
        deliver(index, delay, [this, index, pending] { accept(index, pending); });
        return;
    }
    const core::Instant started = m_events.now();
    deliver(daemon, 2 * delay, [this, daemon, decision, started] {
        complete(daemon, decision.id, decision.attempt, started, AttemptOutcome::ConnectFailed);
    });
}

void Simulation::serverEnded(std::size_t server, const FakeServer::Attempt &attempt,
                             AttemptOutcome outcome)
{
    if (attempt->cancelled)
        return;
    const std::size_t daemon = attempt->daemon;
    policy::BackendReport current = m_servers[server]->report();
    const core::Duration delay = latency(m_daemons[daemon].peer.failureDomain,
                                         m_servers[server]->server().failureDomain);
    deliver(daemon, delay, [this, daemon, attempt, outcome, current] {
        m_daemons[daemon].attempts.erase(attempt->id);
        if (outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::NotRun)
            report(daemon, current);
        complete(daemon, attempt->id, attempt->number, attempt->started, outcome);
    });
}

void Simulation::complete(std::size_t daemon, const core::RequestId &id, std::uint32_t attempt,
                          core::Instant started, AttemptOutcome outcome)
{
    FakeDaemon &self = m_daemons[daemon];
    const auto pending = self.pending.find(id);
    if (pending == self.pending.end())
        return;
    pending->second.lastOutcome = outcome;
    policy::AttemptReport report;
    report.id = id;
    report.outcome = outcome;
    report.now = m_events.now();
    report.latency = m_events.now() - started;
    report.attempt = attempt;
    handleAll(daemon, self.policy->complete(report));
}

void Simulation::finish(std::size_t daemon, const policy::Decision &decision,
                        AttemptOutcome outcome)
{
    FakeDaemon &self = m_daemons[daemon];
    const auto found = self.pending.find(decision.id);
    if (found == self.pending.end())
        return;
    const FakeDaemon::PendingRequest pending = found->second;
    self.pending.erase(found);
    if (didNotRun(outcome) && decision.mayHaveRun)
        outcome = AttemptOutcome::ConnectionLost;
    if (pending.forwarded) {
        const core::Duration delay
                = latency(self.peer.failureDomain, m_daemons[pending.origin].peer.failureDomain);
        const AttemptOutcome answered
                = outcome == AttemptOutcome::ConnectFailed ? AttemptOutcome::NotRun : outcome;
        deliver(pending.origin, delay, [this, pending, answered] {
            complete(pending.origin, pending.originId, pending.originAttempt, pending.accepted,
                     answered);
        });
        return;
    }
    if (outcome != AttemptOutcome::Completed && isMeasured(*pending.request)) {
        const std::string &rank = m_deployment.configuration.ranks[pending.request->kind].name;
        ++m_result.refusals[rank + " " + std::string(toName(decision.reason))];
    }
    if (didNotRun(outcome) && pending.request->runs > 0)
        ++m_result.mustBeZero["falseNotRun"];
    const bool sameRegion
            = self.peer.region == m_deployment.configuration.regions[pending.request->region];
    const core::Duration delay = m_deployment.clientLatency
            + (sameRegion ? core::Duration(0) : m_deployment.regionLatency);
    BenchRequest::Outcome answered = BenchRequest::Outcome::Unknown;
    if (outcome == AttemptOutcome::Completed)
        answered = BenchRequest::Outcome::Complete;
    else if (didNotRun(outcome))
        answered = BenchRequest::Outcome::NotRun;
    recordResponse(pending.request, answered, delay);
}

void Simulation::recordResponse(const Request &request, BenchRequest::Outcome outcome,
                                core::Duration delay)
{
    request->outcome = outcome;
    request->answered = m_events.now() + delay;
}

void Simulation::scheduleAdvance(std::size_t daemon)
{
    deliver(daemon, advanceInterval, [this, daemon] {
        handleAll(daemon, m_daemons[daemon].policy->advance(m_events.now()));
        scheduleAdvance(daemon);
    });
}

void Simulation::exchangeSummaries(std::size_t daemon)
{
    deliver(daemon, summaryInterval, [this, daemon] {
        FakeDaemon &self = m_daemons[daemon];
        const auto summaries = self.policy->summaries(m_events.now());
        const auto quarantine = self.policy->quarantine(m_events.now());
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            FakeDaemon &other = m_daemons[index];
            if (index == daemon || other.peer.failureDomain != self.peer.failureDomain)
                continue;
            deliver(index, m_deployment.domainLatency, [this, index, summaries, quarantine] {
                m_daemons[index].policy->onSummaries(summaries, m_events.now());
                m_daemons[index].policy->onQuarantine(quarantine, m_events.now());
            });
        }
        exchangeSummaries(daemon);
    });
}

void Simulation::pollServers(std::size_t daemon)
{
    deliver(daemon, pollInterval, [this, daemon] {
        for (const auto &server : m_servers) {
            const std::string &domain = server->server().failureDomain;
            if (m_deployment.configuration.regionOf(domain) == m_daemons[daemon].peer.region)
                report(daemon, server->report());
        }
        pollServers(daemon);
    });
}

void Simulation::report(std::size_t daemon, const policy::BackendReport &report)
{
    // The lag applies to the whole report, so the leaving state is delayed like the load.
    deliver(daemon, m_scenario.reportLag, [this, daemon, report] {
        policy::BackendReport stamped = report;
        stamped.now = m_events.now();
        m_daemons[daemon].policy->onBackendReport(stamped);
    });
}

void Simulation::publishPeers(core::Duration delay)
{
    m_events.after(delay, [this] {
        for (std::size_t self = 0; self < m_daemons.size(); ++self) {
            if (!m_daemons[self].alive)
                continue;
            auto view = std::make_shared<policy::PeerView>();
            for (std::size_t index = 0; index < m_daemons.size(); ++index) {
                const FakeDaemon &daemon = m_daemons[index];
                const bool visible = daemon.alive && (!daemon.paused || index == self);
                if (!visible)
                    continue;
                if (index == self)
                    view->self = view->peers.size();
                view->peers.push_back(daemon.peer);
            }
            deliver(self, 0s, [this, self, view] { m_daemons[self].policy->onPeers(view); });
        }
    });
}

void Simulation::killDaemon(std::size_t daemon)
{
    FakeDaemon &self = m_daemons[daemon];
    self.alive = false;
    for (const auto &[id, item] : self.attempts)
        m_servers[item.first]->cancel(item.second);
    self.attempts.clear();
    for (const auto &[id, pending] : self.pending) {
        if (!pending.forwarded) {
            recordResponse(pending.request, BenchRequest::Outcome::Unknown, 0s);
            continue;
        }
        const FakeDaemon::PendingRequest copy = pending;
        deliver(pending.origin, m_deployment.domainLatency, [this, copy] {
            complete(copy.origin, copy.originId, copy.originAttempt, copy.accepted,
                     AttemptOutcome::ConnectionLost);
        });
    }
    self.pending.clear();
    publishPeers(failureDetectionTime);
}

void Simulation::pauseDaemon(std::size_t daemon, core::Duration length)
{
    m_daemons[daemon].paused = true;
    publishPeers(failureDetectionTime);
    m_events.after(length, [this, daemon] {
        m_daemons[daemon].paused = false;
        const auto deferred = std::exchange(m_daemons[daemon].deferred, {});
        for (const auto &action : deferred)
            action();
        publishPeers(500ms);
    });
}

void Simulation::loseRegion(const std::string &region)
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        if (m_daemons[index].peer.region == region)
            killDaemon(index);
    }
    for (const auto &server : m_servers) {
        if (m_deployment.configuration.regionOf(server->server().failureDomain) == region)
            server->crash();
    }
}

void Simulation::drainRegion(const std::string &region)
{
    auto configuration = std::make_shared<config::Configuration>(m_deployment.configuration);
    configuration->generation = 2;
    configuration->drains.push_back({config::DrainTarget::Region, region});
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        const core::Duration delay
                = fromSeconds(m_routeRandom.nextUnit() * toSeconds(configurationSpread));
        deliver(index, delay, [this, index, configuration] {
            m_daemons[index].policy->applyConfiguration(configuration);
        });
    }
    const core::Instant ordered = m_events.now();
    // Callers use the region's entry VMs until their look-up answers expire.
    m_events.after(configurationSpread + configuration->answerLifetime, [this, region] {
        for (FakeDaemon &daemon : m_daemons)
            daemon.peer.leaving = daemon.peer.leaving || daemon.peer.region == region;
        publishPeers(0s);
    });
    watchDrain(region, ordered);
}

void Simulation::watchDrain(const std::string &region, core::Instant ordered)
{
    m_events.after(100ms, [this, region, ordered] {
        bool busy = false;
        for (const FakeDaemon &daemon : m_daemons) {
            if (daemon.peer.region == region)
                busy = busy || !daemon.peer.leaving || !daemon.pending.empty();
        }
        for (const auto &server : m_servers) {
            if (m_deployment.configuration.regionOf(server->server().failureDomain) == region)
                busy = busy || server->running() > 0;
        }
        if (busy)
            watchDrain(region, ordered);
        else
            m_result.drainSeconds = toSeconds(m_events.now() - ordered);
    });
}

core::Duration Simulation::latency(const std::string &from, const std::string &to) const
{
    const config::Configuration &configuration = m_deployment.configuration;
    if (configuration.regionOf(from) != configuration.regionOf(to))
        return m_deployment.regionLatency;
    return from == to ? m_deployment.domainLatency / 4 : m_deployment.domainLatency;
}

bool Simulation::isMeasured(const BenchRequest &request) const
{
    return !request.crashesServer && request.sent >= m_scenario.measureFrom
            && request.sent < m_scenario.measureTo;
}

bool Simulation::isGoodput(const BenchRequest &request) const
{
    return request.outcome == BenchRequest::Outcome::Complete
            && request.answered <= request.deadline && request.answered >= m_scenario.measureFrom
            && request.answered < m_scenario.measureTo;
}

BenchResult::Row Simulation::row(std::size_t kind) const
{
    BenchResult::Row row;
    row.rank = m_deployment.configuration.ranks[kind].name;
    row.kind = m_deployment.kinds[kind].name;
    std::vector<double> latencies;
    double within = 0.0;
    double goodput = 0.0;
    for (const Request &request : m_requests) {
        if (request->kind != kind)
            continue;
        goodput += isGoodput(*request) ? 1.0 : 0.0;
        if (!isMeasured(*request))
            continue;
        ++row.offered;
        if (request->outcome != BenchRequest::Outcome::Complete)
            continue;
        latencies.push_back(toSeconds(request->answered - request->sent));
        within += request->answered <= request->deadline ? 1.0 : 0.0;
    }
    std::sort(latencies.begin(), latencies.end());
    row.p50Ms = percentileMs(latencies, 0.5);
    row.p99Ms = percentileMs(latencies, 0.99);
    const auto offered = static_cast<double>(row.offered);
    row.withinDeadline = within / offered;
    const double seconds = toSeconds(m_scenario.measureTo - m_scenario.measureFrom);
    const double share = kind == 0 ? 1.0 : m_deployment.configuration.ranks[kind].floorShare;
    const double entitledRequests = share * m_deployment.totalSlots() * seconds
            / toSeconds(m_deployment.kinds[kind].serviceTime);
    row.goodputRatio = goodput / std::min(offered, entitledRequests);
    return row;
}

BenchResult::Row Simulation::totalRow() const
{
    BenchResult::Row row;
    row.rank = "all";
    row.kind = "all";
    double offered = 0.0;
    double goodput = 0.0;
    double within = 0.0;
    for (const Request &request : m_requests) {
        goodput += isGoodput(*request) ? toSeconds(request->serviceTime) : 0.0;
        if (!isMeasured(*request))
            continue;
        ++row.offered;
        offered += toSeconds(request->serviceTime);
        const bool good = request->outcome == BenchRequest::Outcome::Complete
                && request->answered <= request->deadline;
        within += good ? 1.0 : 0.0;
    }
    const double seconds = toSeconds(m_scenario.measureTo - m_scenario.measureFrom);
    row.withinDeadline = within / static_cast<double>(row.offered);
    row.goodputRatio = goodput / std::min(offered, m_deployment.totalSlots() * seconds);
    return row;
}

} // namespace sardinehollow::bench
