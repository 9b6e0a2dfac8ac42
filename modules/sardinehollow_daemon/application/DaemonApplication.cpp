#include "sardinehollow_daemon/application/DaemonApplication.h"

#include "sardinehollow_daemon/status/PoolStatusJson.h"
#include "sardinehollow_metrics/PrometheusWriter.h"

#include <Poco/JSON/Object.h>

#include <sstream>
#include <thread>

namespace sardinehollow::daemon {

namespace {

constexpr std::chrono::milliseconds storeTimeout {1000};
constexpr std::chrono::milliseconds vmListTimeout {1000};
constexpr std::chrono::milliseconds policyAdvanceInterval {5};
constexpr std::chrono::milliseconds drainPollInterval {20};
constexpr std::chrono::milliseconds claimAdvanceInterval {10};
constexpr std::chrono::milliseconds shiftAdvanceInterval {10};
constexpr std::chrono::milliseconds claimUpdateRetryInterval {500};
constexpr std::chrono::milliseconds logFlushInterval {100};
// Bounds the age of the pool state to which a request's log line can be related.
constexpr std::chrono::milliseconds poolLogInterval {1000};
// At the design size all daemons together make 20 reads a second.
constexpr std::chrono::milliseconds claimSweepInterval {60000};
constexpr std::chrono::seconds claimDrainTimeout {2};
// Time for all other daemons to be notified that this one is leaving, even if the first
// announcement is lost: two heartbeat intervals and the delay through the relays.
constexpr std::chrono::milliseconds leaveAnnouncementTime {1500};
// A request may still be in transit on an idle connection.
constexpr std::chrono::milliseconds idleConfirmationTime {200};

std::chrono::seconds wallClock()
{
    return std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

void sleepOnThread(core::Duration duration)
{
    std::this_thread::sleep_for(duration);
}

// Identifies this run of the daemon; higher than the incarnations of earlier runs on the same VM.
std::uint64_t makeIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

peer::TransportSettings transportSettings(const config::DaemonSettings &settings,
                                          std::uint64_t incarnation)
{
    peer::TransportSettings result;
    result.vm = settings.vm;
    result.deployment = settings.deployment;
    result.address = settings.peerAddress;
    result.incarnation = incarnation;
    return result;
}

} // namespace

DaemonApplication::DaemonApplication(config::DaemonSettings settings, spdlog::sink_ptr logSink)
    : m_settings(std::move(settings))
    , m_incarnation(makeIncarnation())
    , m_log(std::move(logSink))
    , m_poolLog(m_log)
    , m_store(m_settings.storeAddresses, storeTimeout)
    , m_vmList(m_settings.vmListAddress, vmListTimeout)
    , m_storeClaims(m_store, m_clock, wallClock, sleepOnThread, m_settings.deployment,
                    m_settings.vm + "/" + std::to_string(m_incarnation))
    , m_claimJournal(m_store, m_settings.deployment, m_settings.failureDomain)
    , m_claims({m_settings.vm, m_settings.failureDomain, m_incarnation}, m_claimJournal,
               m_storeClaims, m_clock, m_metrics)
    , m_services {m_clock,      m_policy, m_claims, m_metrics, m_log, m_settings.failureDomain,
                  m_incarnation}
    , m_configurationStore(m_store, m_settings.deployment, platform::CallPurpose::Configuration)
    , m_transport(transportSettings(m_settings, m_incarnation), m_clock)
    , m_peers(m_settings, m_vmList, m_policy, m_transport, m_clock, m_log, m_incarnation)
    , m_replication(m_configurationStore, m_store, m_policy, m_transport, m_peers, m_clock, m_log,
                    m_incarnation)
    , m_steering(m_policy, m_transport, m_clock)
    , m_shifts({m_settings.vm, m_settings.failureDomain, m_incarnation}, m_policy, m_transport,
               m_clock, [this](const std::string &domain) { return lowestGeneration(domain); })
{
    m_services.shifts = &m_shifts;
    m_services.trustCallerHeader = m_settings.trustCallerHeader;
    m_log.write(logging::LogLine("started")
                        .text("vm", m_settings.vm)
                        .text("failureDomain", m_settings.failureDomain)
                        .text("region", m_settings.region)
                        .text("address", m_settings.callerAddress)
                        .number("incarnation", static_cast<std::int64_t>(m_incarnation)));
    startServers();
    startTasks();
}

DaemonApplication::~DaemonApplication()
{
    // The entry server stops first, because its open claims wait for answers that the tasks
    // deliver.
    m_entryServer->stop();
    m_tasks.clear();
    m_steering.stop();
    m_peers.stop();
    m_claims.setTransport(nullptr);
    m_transport.stop();
    m_replication.stop();
}

void DaemonApplication::drain()
{
    m_log.write(logging::LogLine("stopping")
                        .number("requests", static_cast<std::int64_t>(m_services.inFlight)));
    m_leaving = true;
    m_services.leaving = true;
    m_peers.leave();
    const std::shared_ptr<const config::Configuration> configuration = m_policy.configuration();
    std::this_thread::sleep_for(leaveAnnouncementTime);
    if (configuration)
        std::this_thread::sleep_for(configuration->answerLifetime);
    m_entryServer->stopAccepting();
    waitUntilIdle();
    // A claim whose end is not recorded makes repeats unknown, but a store outage must not prevent
    // the exit.
    const core::Instant deadline = m_clock.now() + claimDrainTimeout;
    while (!m_claims.isIdle() && m_clock.now() < deadline)
        std::this_thread::sleep_for(drainPollInterval);
    m_log.write(logging::LogLine("stopped").number("requests",
                                                   static_cast<std::int64_t>(m_services.inFlight)));
    m_log.flush();
}

void DaemonApplication::waitUntilIdle()
{
    core::Instant idleSince = m_clock.now();
    while (m_clock.now() - idleSince < idleConfirmationTime) {
        if (m_services.inFlight > 0)
            idleSince = m_clock.now();
        std::this_thread::sleep_for(drainPollInterval);
    }
}

bool DaemonApplication::isReady() const
{
    return !m_leaving && m_policy.configuration() != nullptr && m_peers.hasJoined()
            && m_isHoldOffOver;
}

std::string DaemonApplication::statusJson() const
{
    const std::shared_ptr<const config::Configuration> configuration = m_policy.configuration();
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("vm", m_settings.vm);
    object.set("failureDomain", m_settings.failureDomain);
    object.set("region", m_settings.region);
    object.set("incarnation", m_incarnation);
    object.set("generation", configuration ? configuration->generation : 0);
    object.set("ready", isReady());
    object.set("leaving", m_leaving.load());
    object.set("requestsInFlight", m_services.inFlight.load());
    object.set("claimScope", m_claims.ownScope());
    m_peers.addStatus(object);
    m_replication.addStatus(object);
    object.set("pools", toJson(m_policy.statuses(m_clock.now())));
    m_shifts.addStatus(object);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::string DaemonApplication::metricsText() const
{
    metrics::PrometheusWriter writer;
    m_store.callCounters().appendTo(writer);
    writer.family("claims_in_memory", "Claims that this daemon keeps as owner of a scope.",
                  "gauge");
    writer.sample("claims_in_memory", {}, std::to_string(m_claims.claimCount()));
    const auto addCounter = [&writer](const char *name, const char *help, std::uint64_t value) {
        writer.family(name, help, "counter");
        writer.sample(name, {}, std::to_string(value));
    };
    const entry::ForwardPool &pool = m_entryServer->pool();
    addCounter("vm_list_calls_total", "Reads of the platform's list of VMs.", m_vmList.calls());
    addCounter("connections_opened_total", "Connections opened to servers and peers.",
               pool.opened());
    addCounter("connections_reused_total", "Requests sent on a kept connection.", pool.reused());
    addCounter("connection_pools_dropped_total",
               "Times that the connections to an address were closed because one was silent.",
               pool.dropped());
    return m_metrics.prometheusText() + writer.text() + m_peers.metricsText()
            + m_replication.metricsText() + m_steering.metricsText() + m_shifts.metricsText();
}

void DaemonApplication::startServers()
{
    m_operatorServer
            = std::make_unique<entry::OperatorServer>(m_settings.operatorAddress, *this, m_log);
    entry::EntryServerSettings settings;
    settings.callerAddress = m_settings.callerAddress;
    settings.forwardAddress = m_settings.forwardAddress;
    settings.idleTimeout = m_settings.idleTimeout;
    settings.claimThreads = m_settings.claimThreads;
    m_entryServer = std::make_unique<entry::EntryServer>(settings, m_services);
    m_operatorServer->start();
    m_entryServer->start();
}

void DaemonApplication::advancePolicy()
{
    const core::Instant now = m_clock.now();
    m_entryServer->deliver(m_policy.advance(now));
    // Later hold-offs, after changes of the peers, do not make a serving daemon unready.
    const std::shared_ptr<const policy::PeerView> peers = m_policy.peers();
    // A fenced daemon owns no slots, so isAdmitting() would not wait for any hold-off.
    const bool joined = peers && !peers->fenced && m_policy.configuration();
    if (!m_isHoldOffOver && joined && m_policy.isAdmitting(now))
        markReady();
}

void DaemonApplication::markReady()
{
    m_isHoldOffOver = true;
    m_log.write(logging::LogLine("ready").text("vm", m_settings.vm));
}

void DaemonApplication::advanceClaims()
{
    if (const std::shared_ptr<const policy::PeerView> peers = m_policy.peers())
        m_claims.onPeers(peers);
    if (const std::shared_ptr<const config::Configuration> configuration = m_policy.configuration())
        m_claims.onConfiguration(*configuration);
    m_claims.poll();
    m_peers.setClaimScope(m_claims.ownScope());
}

std::uint64_t DaemonApplication::lowestGeneration(const std::string &failureDomain) const
{
    const std::shared_ptr<const config::Configuration> configuration = m_policy.configuration();
    return m_peers.withMembership([&](const peer::Membership &membership) {
        if (failureDomain != m_settings.failureDomain) {
            const auto found = membership.remoteDomains().find(failureDomain);
            return found == membership.remoteDomains().end() ? 0 : found->second.lowestGeneration;
        }
        std::uint64_t lowest = configuration ? configuration->generation : 0;
        for (const auto &[vm, member] : membership.members()) {
            if (member.alive)
                lowest = std::min(lowest, member.generation);
        }
        return lowest;
    });
}

void DaemonApplication::startTasks()
{
    m_transport.addListener(m_peers);
    m_transport.addListener(m_replication);
    m_transport.addListener(m_claims);
    m_transport.addListener(m_steering);
    m_transport.addListener(m_shifts);
    m_claims.setTransport(&m_transport);
    m_transport.start();
    m_peers.start();
    m_replication.start();
    m_steering.start();
    m_tasks.push_back(
            std::make_unique<PeriodicTask>(policyAdvanceInterval, [this] { advancePolicy(); }));
    m_tasks.push_back(
            std::make_unique<PeriodicTask>(claimSweepInterval, [this] { m_storeClaims.sweep(); }));
    m_tasks.push_back(
            std::make_unique<PeriodicTask>(shiftAdvanceInterval, [this] { m_shifts.advance(); }));
    m_tasks.push_back(std::make_unique<PeriodicTask>(logFlushInterval, [this] { m_log.flush(); }));
    m_tasks.push_back(std::make_unique<PeriodicTask>(
            poolLogInterval, [this] { m_poolLog.update(m_policy.statuses(m_clock.now())); }));
    m_tasks.push_back(
            std::make_unique<PeriodicTask>(claimAdvanceInterval, [this] { advanceClaims(); }));
    m_tasks.push_back(std::make_unique<PeriodicTask>(
            claimUpdateRetryInterval, [this] { m_storeClaims.retryPendingUpdates(); }));
}

} // namespace sardinehollow::daemon
