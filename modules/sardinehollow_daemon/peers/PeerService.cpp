#include "sardinehollow_daemon/peers/PeerService.h"

#include <Poco/JSON/Array.h>

namespace sardinehollow::daemon {

namespace {

constexpr std::chrono::milliseconds advanceInterval {100};
// The list is only a hint, and all daemons read it, so long intervals keep the load low.
constexpr std::chrono::milliseconds vmListInterval {2000};

peer::MemberAddress localAddress(const config::DaemonSettings &settings)
{
    return {settings.vm,
            settings.region,
            settings.failureDomain,
            settings.callerAddress,
            settings.forwardAddress,
            settings.operatorAddress,
            settings.peerAddress,
            false};
}

std::vector<peer::MemberAddress> parseSeeds(const config::DaemonSettings &settings)
{
    std::vector<peer::MemberAddress> seeds;
    for (const std::string &text : settings.peerSeeds) {
        const std::size_t separator = text.find('@');
        if (separator == std::string::npos)
            continue;
        peer::MemberAddress seed;
        seed.vm = text.substr(0, separator);
        seed.region = settings.region;
        seed.failureDomain = settings.failureDomain;
        seed.peerAddress = text.substr(separator + 1);
        seeds.push_back(std::move(seed));
    }
    return seeds;
}

std::string counterLine(const std::string &name, std::uint64_t value)
{
    return "sardinehollow_peer_" + name + " " + std::to_string(value) + "\n";
}

// Logs a line for each daemon that joined or left the view, and one if the local daemon became
// fenced, which means that it may not own slots, or unfenced.
void logChanges(logging::EventLog &log, const policy::PeerView *before, const policy::PeerView &now)
{
    std::map<std::string, std::string> known;
    for (const policy::Peer &peer : before ? before->peers : std::vector<policy::Peer> {})
        known[peer.vm] = peer.failureDomain;
    for (const policy::Peer &peer : now.peers) {
        if (known.erase(peer.vm) == 0)
            log.write(logging::LogLine("peer-added")
                              .text("vm", peer.vm)
                              .text("failureDomain", peer.failureDomain));
    }
    for (const auto &[vm, failureDomain] : known)
        log.write(logging::LogLine("peer-removed")
                          .text("vm", vm)
                          .text("failureDomain", failureDomain));
    if (!before || before->fenced != now.fenced)
        log.write(logging::LogLine(now.fenced ? "fenced" : "unfenced")
                          .number("peers", static_cast<std::int64_t>(now.peers.size())));
}

Poco::JSON::Object::Ptr toObject(const peer::Member &member)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("vm", member.address.vm);
    object->set("alive", member.alive);
    object->set("leaving", member.leaving);
    object->set("fenced", member.fenced);
    object->set("generation", member.generation);
    return object;
}

Poco::JSON::Object::Ptr toObject(const std::string &name, const peer::RemoteDomain &domain)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("failureDomain", name);
    object->set("liveDaemons", domain.summary.members_size());
    object->set("lowestGeneration", domain.lowestGeneration);
    object->set("highestGeneration", domain.highestGeneration);
    return object;
}

} // namespace

PeerService::PeerService(const config::DaemonSettings &settings, platform::VmList &vmList,
                         policy::SteeringPolicy &policy, peer::ZmqTransport &transport,
                         const core::MonotonicClock &clock, logging::EventLog &log,
                         std::uint64_t incarnation)
    : m_vmList(vmList)
    , m_policy(policy)
    , m_transport(transport)
    , m_clock(clock)
    , m_log(log)
    , m_membership(localAddress(settings), incarnation, peer::MembershipTimes(), clock.now())
    , m_publishedIncarnation(incarnation)
{
    m_membership.onVmList(parseSeeds(settings));
}

void PeerService::start()
{
    m_tasks.push_back(std::make_unique<PeriodicTask>(vmListInterval, [this] { readVmList(); }));
    m_tasks.push_back(std::make_unique<PeriodicTask>(advanceInterval, [this] { advance(); }));
}

void PeerService::stop()
{
    m_tasks.clear();
}

void PeerService::leave()
{
    const std::lock_guard lock(m_mutex);
    publish(m_membership.leave(m_clock.now()));
}

void PeerService::onMessage(const peer::wire::Envelope &envelope)
{
    const std::lock_guard lock(m_mutex);
    publish(m_membership.onMessage(envelope, m_clock.now()));
}

bool PeerService::hasJoined() const
{
    const std::lock_guard lock(m_mutex);
    return m_membership.hasJoined(m_clock.now());
}

void PeerService::setClaimScope(const std::string &scope)
{
    const std::lock_guard lock(m_mutex);
    m_claimScope = scope;
}

void PeerService::addStatus(Poco::JSON::Object &object) const
{
    const std::lock_guard lock(m_mutex);
    object.set("fenced", m_membership.isFenced());
    object.set("relay", m_membership.relay());
    Poco::JSON::Array::Ptr daemons = new Poco::JSON::Array;
    for (const auto &[vm, member] : m_membership.members())
        daemons->add(toObject(member));
    object.set("daemons", daemons);
    Poco::JSON::Array::Ptr domains = new Poco::JSON::Array;
    for (const auto &[name, domain] : m_membership.remoteDomains())
        domains->add(toObject(name, domain));
    object.set("otherFailureDomains", domains);
}

std::string PeerService::metricsText() const
{
    std::string text = counterLine("sent_messages_total", m_transport.sentMessages())
            + counterLine("sent_bytes_total", m_transport.sentBytes())
            + counterLine("received_messages_total", m_transport.receivedMessages())
            + counterLine("received_bytes_total", m_transport.receivedBytes())
            + counterLine("replaced_connections_total", m_transport.replacedConnections());
    for (std::size_t index = 0; index < peer::dropReasonCount; ++index) {
        const auto reason = static_cast<peer::DropReason>(index);
        text += counterLine("dropped_messages_total{reason=\"" + std::string(toName(reason))
                                    + "\"}",
                            m_transport.dropped(reason));
    }
    return text;
}

void PeerService::advance()
{
    const std::shared_ptr<const config::Configuration> configuration = m_policy.configuration();
    const std::lock_guard lock(m_mutex);
    const core::Instant now = m_clock.now();
    peer::LocalState local;
    local.generation = configuration ? configuration->generation : 0;
    local.claimScope = m_claimScope;
    publish(m_membership.setLocal(local, now));
    publish(m_membership.advance(now));
}

void PeerService::readVmList()
{
    const core::Result<std::vector<platform::VmEntry>> entries = m_vmList.list();
    logVmListState(entries.has_value(), entries ? std::string() : entries.error().text());
    // The previous list stays in use; heartbeats show which daemons are alive.
    if (!entries)
        return;
    std::vector<peer::MemberAddress> vms;
    for (const platform::VmEntry &entry : *entries) {
        vms.push_back({entry.vm, entry.region, entry.failureDomain, entry.callerAddress,
                       entry.forwardAddress, entry.operatorAddress, entry.peerAddress,
                       entry.leaving});
    }
    const std::lock_guard lock(m_mutex);
    m_membership.onVmList(vms);
    publish({});
}

void PeerService::logVmListState(bool isAvailable, const std::string &error)
{
    if (isAvailable != m_isVmListUnavailable)
        return;
    m_isVmListUnavailable = !isAvailable;
    if (isAvailable)
        m_log.write(logging::LogLine("vm-list-regained"));
    else
        m_log.write(logging::LogLine("vm-list-lost").text("error", error));
}

void PeerService::publish(peer::OutgoingMessages messages)
{
    if (m_membership.isChanged())
        publishAddresses();
    if (m_membership.incarnation() != m_publishedIncarnation) {
        m_publishedIncarnation = m_membership.incarnation();
        m_transport.setIncarnation(m_publishedIncarnation);
        m_log.write(
                logging::LogLine("rejoined")
                        .text("reason", "the daemon was paused beyond its lease")
                        .number("incarnation", static_cast<std::int64_t>(m_publishedIncarnation)));
    }
    for (peer::OutgoingMessage &message : messages)
        m_transport.send(message.vm, std::move(message.envelope));
    const std::shared_ptr<const policy::PeerView> view = m_membership.view();
    if (view == m_publishedView)
        return;
    logChanges(m_log, m_publishedView.get(), *view);
    m_publishedView = view;
    m_policy.onPeers(view);
}

void PeerService::publishAddresses()
{
    std::map<std::string, std::string> addresses = m_membership.addresses();
    if (addresses == m_publishedAddresses)
        return;
    m_publishedAddresses = addresses;
    m_transport.setPeers(std::move(addresses));
}

} // namespace sardinehollow::daemon
