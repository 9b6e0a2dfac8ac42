#include "sardinehollow_gateway/application/GatewayApplication.h"

#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_gateway/application/EntryCodec.h"
#include "sardinehollow_metrics/PrometheusWriter.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::gateway {

namespace {

// Interval for checking requests of signals, due removals, idle connections and crash reports.
constexpr core::Duration tickInterval = std::chrono::milliseconds(100);
// Delay of a tick above which the event loop is reported as late.
constexpr core::Duration reportedLoopDelay = std::chrono::milliseconds(250);
// Lease time of the daemon's entry: a crashed daemon leaves the directory after this time, and two
// renewals may be lost.
constexpr std::chrono::seconds entryLifetime {3};
// Time after which almost all callers have refreshed their cached directory response.
constexpr core::Duration announcementTime = std::chrono::milliseconds(2500);
// Connections that were idle for less are kept: a request may already be on its way.
constexpr core::Duration minimumIdleBeforeClose = std::chrono::milliseconds(300);
// Share of the grace period at its end in which new requests are refused, so that those accepted
// before can be completed; the platform's callers wait no longer than this for most requests.
constexpr double finishingShare = 0.5;
// A new configuration's quotas are to be in force within 3 s after it is known.
constexpr core::Duration usageUpdateInterval = std::chrono::milliseconds(500);
// Crashes of servers come in groups; one write of the entry reports all of them.
constexpr core::Duration crashReportInterval = std::chrono::seconds(1);
// Part of the grace period reserved for the process to exit.
constexpr core::Duration processExitTime = std::chrono::milliseconds(300);

std::uint64_t seedOf(const GatewaySettings &settings, std::string_view purpose)
{
    const auto start = static_cast<std::uint64_t>(network::BootClock().now().count());
    return core::combineHashes(core::stableHash(settings.self.name + std::string(purpose)), start);
}

UsageExchange::Settings usageSettings(const GatewaySettings &settings)
{
    const auto unixTime = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    UsageExchange::Settings usage;
    usage.vm = settings.self.name;
    usage.failureDomain = settings.self.failureDomain;
    usage.sharesDemand = settings.sharesDemand;
    usage.incarnation = static_cast<std::uint64_t>(unixTime.count());
    usage.regions = settings.routing.regions;
    return usage;
}

// The age of the contents counts from their arrival. The rest of the time within which changes have
// to be known is for their way from the store.
core::Duration maximumKnowledgeAge(const GatewaySettings &settings)
{
    return settings.maxStoreDelay * 9 / 10;
}

} // namespace

GatewayApplication::GatewayApplication(GatewaySettings settings, const WireProtocol &protocol,
                                       const StoreSchema &schema, platform::KeyValueStore &store,
                                       ProcessRequests &requests, spdlog::sink_ptr logSink)
    : m_settings(std::move(settings))
    , m_protocol(protocol)
    , m_store(store)
    , m_requests(requests)
    , m_random(seedOf(m_settings, "requests"))
    , m_loop(m_clock)
    , m_log(std::move(logSink))
    , m_routing(m_settings.routing, m_random)
    , m_pool(m_loop, protocol)
    , m_services {m_loop,
                  protocol,
                  m_routing,
                  m_pool,
                  m_metrics,
                  m_log,
                  routing::QuotaGate(core::stableHash(m_settings.self.name))}
    , m_exchangeFactory(m_services)
    , m_operatorTracker(m_services, schema, m_settings.reappearanceTime)
    , m_serverTracker(m_services, schema, m_settings.reappearanceTime)
    , m_entryTracker(m_services, m_settings.reappearanceTime + std::chrono::seconds(1))
    , m_peers(m_settings.self, m_loop, m_clock, m_log)
    , m_usage(
              usageSettings(m_settings), m_peers, m_routing.entries(), m_services.quotas,
              m_services.demand, [this] { return m_loop.now(); }, m_log,
              [this](const routing::DemandView &view, core::Instant now) {
                  m_routing.applyDemand(view, now);
              })
{
    m_log.write(logging::LogLine("started")
                        .text("vm", m_settings.self.name)
                        .text("failureDomain", m_settings.self.failureDomain)
                        .text("region", m_settings.self.region)
                        .text("address", m_settings.self.address));
    startListeners();
    m_dispatcher.add(schema.operatorPrefix(), m_operatorTracker);
    m_dispatcher.add(schema.serverPrefix(), m_serverTracker);
    m_dispatcher.add(entryPrefix, m_entryTracker);
    m_mirror = std::make_unique<SharedMirror>(
            SharedMirror::Settings {m_settings.self, m_settings.maxStoreDelay,
                                    seedOf(m_settings, "mirror")},
            m_loop, m_clock, m_log, store, m_dispatcher, &m_peers);
    m_services.storeKnowledge = m_mirror.get();
    m_services.maximumKnowledgeAge = maximumKnowledgeAge(m_settings);
    onTick();
    onUsageTick();
}

GatewayApplication::~GatewayApplication() = default;

void GatewayApplication::startListeners()
{
    const std::string &address = m_settings.self.address;
    m_callerListener = std::make_unique<network::ServerListener>(
            m_loop, address, m_exchangeFactory,
            [this, address](const std::string &reason) { onAcceptFailed(address, reason); });
    m_readinessListener = makeQueryListener(
            m_settings.readinessAddress,
            [this](const Poco::Net::HTTPRequest &) { return answerReadiness(); });
    m_directoryListener = makeQueryListener(
            m_settings.directoryAddress,
            [this](const Poco::Net::HTTPRequest &request) { return answerEntryQuery(request); });
    if (m_settings.metricsAddress.empty())
        return;
    m_metricsListener
            = makeQueryListener(m_settings.metricsAddress, [this](const Poco::Net::HTTPRequest &) {
                  return network::QueryListener::Answer {200, "text/plain; version=0.0.4",
                                                         metricsText()};
              });
}

std::unique_ptr<network::QueryListener>
GatewayApplication::makeQueryListener(const std::string &address,
                                      network::QueryListener::Handler handler)
{
    return std::make_unique<network::QueryListener>(
            m_loop, address, std::move(handler),
            [this, address](const std::string &reason) { onAcceptFailed(address, reason); });
}

void GatewayApplication::onAcceptFailed(const std::string &address, const std::string &reason)
{
    m_metrics.countAcceptFailure();
    m_log.write(logging::LogLine("accept-failed").text("address", address).text("error", reason));
}

void GatewayApplication::run()
{
    m_loop.run();
    m_log.write(logging::LogLine("stopped").number(
            "connections", static_cast<std::int64_t>(m_callerListener->connectionCount())));
    m_log.flush();
}

void GatewayApplication::onTick()
{
    reportLoopDelay();
    checkRequests();
    m_serverTracker.removeDue();
    m_entryTracker.removeDue();
    m_pool.prune();
    evaluateQuarantine();
    publishCrashReports();
    updateUsage();
    reportRankLimits();
    m_mirror->onTick(m_routing.entries());
    if (m_stoppingSince.count() > 0)
        advanceStop();
    // The entry that directs callers here is written only once requests can be routed.
    if (!m_ownEntry && isReady())
        publishEntry();
    m_log.flush();
    m_nextTickAt = m_loop.now() + tickInterval;
    m_loop.schedule(tickInterval, [this] { onTick(); });
}

void GatewayApplication::reportLoopDelay()
{
    const core::Duration delay = m_loop.now() - m_nextTickAt;
    if (m_nextTickAt.count() == 0 || delay < reportedLoopDelay)
        return;
    m_log.write(logging::LogLine("loop-late")
                        .milliseconds("ms", delay)
                        .number("connections",
                                static_cast<std::int64_t>(m_callerListener->connectionCount())));
}

void GatewayApplication::publishEntry()
{
    const auto onStoreContact = [this](const platform::LeasedKey::Contact &contact) {
        const core::Instant startedAt = m_clock.now() - contact.elapsed;
        m_loop.post([this, startedAt, contact] { onEntryContact(startedAt, contact); });
    };
    m_ownEntry = std::make_unique<platform::LeasedKey>(
            m_store, platform::CallPurpose::Entries, entryPrefix + m_settings.self.name,
            encodeEntry({m_settings.self, {}}), std::max(entryLifetime, m_settings.shortestLease),
            seedOf(m_settings, "lease"),
            [this](const core::Error &error) { onRenewalFailed(error); }, onStoreContact);
    m_log.write(logging::LogLine("ready").text("vm", m_settings.self.name));
}

void GatewayApplication::onUsageTick()
{
    m_usage.onTick();
    m_loop.schedule(m_usage.pollInterval(), [this] { onUsageTick(); });
}

void GatewayApplication::updateUsage()
{
    if (m_loop.now() - m_usageUpdatedAt < usageUpdateInterval)
        return;
    m_usageUpdatedAt = m_loop.now();
    UsageCoordinator::Quotas quotas;
    if (m_routing.table()) {
        for (const routing::Team &team : m_routing.table()->configuration().teams)
            quotas[team.name] = team.quota;
    }
    m_usage.setQuotas(quotas);
    m_peers.setAcrossDomains(m_usage.isInUse());
    std::set<std::string> services;
    UsageCoordinator::Slots slots;
    for (const auto &[id, server] : m_routing.backends().all()) {
        services.insert(server->server().service);
        if (!server->isLeaving())
            slots[server->server().service][server->region()] += server->server().slots;
    }
    m_services.demand.retainServices(services);
    m_usage.setSlots(std::move(slots));
}

void GatewayApplication::evaluateQuarantine()
{
    const routing::QuarantineFindings findings = m_routing.quarantine().evaluate(m_loop.now());
    for (const routing::QuarantineFindings::Crash &crash : findings.crashes)
        m_log.write(logging::LogLine("crash-confirmed")
                            .hash("request", crash.report.request)
                            .text("server", crash.report.server)
                            .milliseconds("after", crash.delay));
    for (const std::uint64_t request : findings.quarantined)
        m_log.write(logging::LogLine("request-quarantined").hash("request", request));
}

void GatewayApplication::reportRankLimits()
{
    constexpr double percent = 100;
    const auto inPercent
            = [](double value) { return static_cast<std::int64_t>(std::lround(value * percent)); };
    for (const routing::RankStatus &item : m_routing.admission().takeChanges(m_loop.now()))
        m_log.write(logging::LogLine("rank-limits")
                            .text("service", item.service)
                            .number("rank", item.rank)
                            .number("maximumLoadPercent", inPercent(item.limits.maximum))
                            .number("reservePercent", inPercent(item.reserve))
                            .number("urgentUnservedPercent", inPercent(item.urgentUnservedShare))
                            .number("refusedPercent", inPercent(item.refusedShare))
                            .number("recentRequests",
                                    static_cast<std::int64_t>(std::lround(item.recentRequests))));
}

void GatewayApplication::publishCrashReports()
{
    const routing::RequestQuarantine &quarantine = m_routing.quarantine();
    const bool isDue = m_ownEntry && quarantine.reportCount() != m_publishedReportCount
            && m_loop.now() - m_reportsPublishedAt >= crashReportInterval;
    if (!isDue)
        return;
    m_publishedReportCount = quarantine.reportCount();
    m_reportsPublishedAt = m_loop.now();
    m_ownEntry->update(encodeEntry({m_settings.self, quarantine.reports()}));
}

void GatewayApplication::onEntryContact(core::Instant startedAt,
                                        const platform::LeasedKey::Contact &contact)
{
    m_mirror->onStoreContact(startedAt, contact.revision);
    if (contact.revision == 0)
        return;
    m_log.write(logging::LogLine("entry-written")
                        .number("lease", contact.lease)
                        .number("revision", contact.revision)
                        .milliseconds("ms", contact.elapsed));
}

void GatewayApplication::onRenewalFailed(const core::Error &error)
{
    m_loop.post([this, error] {
        m_log.write(logging::LogLine("renewal-failed").text("error", error.text()));
        m_mirror->restartWatch();
    });
}

void GatewayApplication::checkRequests()
{
    if (m_requests.takeReload())
        m_log.write(logging::LogLine("reload").text(
                "detail", "settings are read at startup only; restart the daemon to apply them"));
    if (m_requests.takeStop() && m_stoppingSince.count() == 0)
        beginStop();
}

void GatewayApplication::beginStop()
{
    m_stoppingSince = m_loop.now();
    m_services.isLeaving = true;
    m_services.stopsAt = m_stoppingSince + m_settings.stopGrace - processExitTime;
    if (m_ownEntry)
        m_ownEntry->release();
    m_log.write(logging::LogLine("stopping").milliseconds("grace", m_settings.stopGrace));
}

void GatewayApplication::advanceStop()
{
    const core::Duration elapsed = m_loop.now() - m_stoppingSince;
    if (elapsed < announcementTime)
        return;
    const bool isFinishing = elapsed >= std::chrono::duration_cast<core::Duration>(
                                     m_settings.stopGrace * (1 - finishingShare));
    if (isFinishing && !m_services.isRefusing) {
        m_services.isRefusing = true;
        m_callerListener->stopAccepting();
        m_log.write(logging::LogLine("finishing")
                            .number("requests",
                                    static_cast<std::int64_t>(m_callerListener->busyCount())));
    }
    m_callerListener->closeIdle(minimumIdleBeforeClose);
    const bool isDone = m_callerListener->connectionCount() == 0;
    if (isDone || m_loop.now() > m_services.stopsAt)
        m_loop.stop();
}

bool GatewayApplication::isReady() const
{
    return !m_services.isLeaving && m_routing.table() != nullptr;
}

network::QueryListener::Answer GatewayApplication::answerReadiness() const
{
    if (isReady())
        return {200, "text/plain", "ready\n"};
    return {503, "text/plain", m_services.isLeaving ? "leaving\n" : "no configuration yet\n"};
}

network::QueryListener::Answer
GatewayApplication::answerEntryQuery(const Poco::Net::HTTPRequest &request)
{
    const std::optional<EntryQuery> query = m_protocol.readEntryQuery(request);
    if (!query)
        return {404, "text/plain", "unknown path; ask for entry daemons\n"};
    routing::EntryDirectory entries = m_routing.entries();
    // This daemon's entry in the store may be older than its actual state.
    if (m_services.isLeaving)
        entries.remove(m_settings.self.name);
    else if (isReady())
        entries.put(m_settings.self);
    std::vector<std::string> addresses;
    for (const routing::EntryDaemon &daemon :
         entries.daemonsFor(query->region, query->failureDomain, m_random.next()))
        addresses.push_back(daemon.address);
    if (addresses.empty())
        return {503, "text/plain", "no entry daemon is known yet\n"};
    return {200, "application/json",
            m_protocol.formatEntryResponse(addresses, m_settings.directoryLifetime)};
}

std::string GatewayApplication::metricsText() const
{
    metrics::PrometheusWriter writer;
    const auto add
            = [&writer](const char *name, const char *help, const char *type, std::uint64_t value) {
                  writer.family(name, help, type);
                  writer.sample(name, {}, std::to_string(value));
              };
    add("backend_connections_opened_total", "Connections opened to backend servers.", "counter",
        m_pool.opened());
    add("backend_connections_reused_total", "Requests sent on a kept connection.", "counter",
        m_pool.reused());
    add("backend_connections", "Connections to backend servers.", "gauge", m_pool.size());
    add("load_reports_malformed_total", "Load reports of servers that could not be parsed.",
        "counter", m_pool.malformedLoadReports());
    add("caller_connections", "Connections of callers.", "gauge",
        m_callerListener->connectionCount());
    using ResponsePurpose = network::ResponseBudget::Purpose;
    add("response_bytes_held", "Bytes of responses held for open requests.", "gauge",
        m_services.responseBudget.bytes(ResponsePurpose::HeldBack));
    add("response_bytes_unsent", "Bytes of responses that wait for their callers to take them.",
        "gauge", m_services.responseBudget.bytes(ResponsePurpose::Unsent));
    add("backend_servers", "Backend servers known.", "gauge", m_routing.backends().all().size());
    add("entry_daemons", "Daemons known.", "gauge", m_routing.entries().daemons().size());
    add("quarantined_requests", "Requests that are held to crash servers.", "gauge",
        m_routing.quarantine().size());
    add("log_lines_omitted_total", "Request lines left out of the log.", "counter",
        m_log.omittedLines());
    add("configuration_version", "Version in force; 0 for none.", "gauge",
        m_routing.table() ? m_routing.table()->configuration().version : 0);
    writer.family("rank_load_limit",
                  "Load per slot from which servers take no request of the rank.", "gauge");
    for (const routing::RankStatus &item : m_routing.admission().status(m_loop.now()))
        writer.sample("rank_load_limit",
                      {{"service", item.service}, {"rank", std::to_string(item.rank)}},
                      std::to_string(item.limits.maximum));
    m_mirror->appendMetrics(writer);
    m_peers.appendMetrics(writer);
    m_usage.appendMetrics(writer);
    m_store.callCounters().appendTo(writer);
    return m_metrics.prometheusText() + writer.text();
}

} // namespace sardinehollow::gateway
