#include "sardinehollow_daemon/configuration/ReplicationService.h"

#include <utility>

namespace sardinehollow::daemon {

namespace {

constexpr std::chrono::milliseconds advanceInterval {100};

peer::ReplicaHead toReplicaHead(const configuration_store::ConfigurationHead &head)
{
    return {head.generation,   head.manifest, head.delta,  head.digest,
            head.submissionId, head.author,   head.message};
}

} // namespace

ReplicationService::ReplicationService(configuration_store::ConfigurationStore &configurations,
                                       platform::KeyValueStore &store,
                                       policy::SteeringPolicy &policy,
                                       peer::ZmqTransport &transport, const PeerService &peers,
                                       const core::MonotonicClock &clock, logging::EventLog &log,
                                       std::uint64_t seed)
    : m_configurations(configurations)
    , m_store(store)
    , m_policy(policy)
    , m_transport(transport)
    , m_peers(peers)
    , m_clock(clock)
    , m_log(log)
    , m_random(seed)
    , m_replica(peer::ReplicaTimes(), m_random, clock.now())
    , m_storeTasks(std::make_unique<TaskQueue>())
    , m_applyTasks(std::make_unique<TaskQueue>())
{ }

void ReplicationService::start()
{
    m_advanceTask = std::make_unique<PeriodicTask>(advanceInterval, [this] { advance(); });
}

void ReplicationService::stop()
{
    m_advanceTask.reset();
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_storeTasks.reset();
    m_watch.reset();
    m_applyTasks.reset();
}

void ReplicationService::onMessage(const peer::wire::Envelope &envelope)
{
    const std::lock_guard lock(m_mutex);
    execute(m_replica.onMessage(envelope, m_clock.now()));
}

void ReplicationService::onChanged(const std::vector<platform::KeyValue> &keyValues,
                                   std::int64_t revision)
{
    (void)revision;
    for (const platform::KeyValue &item : keyValues) {
        const auto head = configuration_store::ConfigurationHead::fromJson(item.value);
        // With a deleted or unreadable head the current configuration stays in force.
        if (!head)
            continue;
        const std::lock_guard lock(m_mutex);
        execute(m_replica.onStoreHead(toReplicaHead(*head), m_clock.now()));
    }
}

void ReplicationService::onEnded(const core::Error &reason)
{
    onStoreLost(reason);
}

void ReplicationService::onStoreLost(const core::Error &reason)
{
    const std::lock_guard lock(m_mutex);
    if (!std::exchange(m_isStoreUnavailable, true))
        m_log.write(logging::LogLine("store-lost")
                            .text("error", reason.text())
                            .number("generation",
                                    static_cast<std::int64_t>(m_replica.storeGeneration())));
    m_replica.onStoreLost(m_clock.now());
}

void ReplicationService::addStatus(Poco::JSON::Object &object) const
{
    const std::lock_guard lock(m_mutex);
    object.set("watchesStore", m_replica.isWatching());
    object.set("storeGeneration", m_replica.storeGeneration());
}

std::string ReplicationService::metricsText() const
{
    const std::lock_guard lock(m_mutex);
    const auto counterLine = [](const std::string &name, std::uint64_t value) {
        return "sardinehollow_configuration_" + name + " " + std::to_string(value) + "\n";
    };
    return counterLine("lower_heads_total", m_replica.lowerHeads())
            + counterLine("conflicting_heads_total", m_replica.conflictingHeads());
}

void ReplicationService::advance()
{
    const peer::ReplicaRoster roster = makeRoster();
    const std::lock_guard lock(m_mutex);
    execute(m_replica.advance(roster, m_clock.now()));
}

peer::ReplicaRoster ReplicationService::makeRoster() const
{
    return m_peers.withMembership([](const peer::Membership &membership) {
        peer::ReplicaRoster roster;
        roster.relay = membership.isRelay();
        roster.generationsKnown = !membership.isFenced();
        for (const auto &[vm, member] : membership.members()) {
            if (member.alive)
                roster.members.push_back({vm, member.generation});
        }
        for (const auto &[name, domain] : membership.remoteDomains()) {
            const std::vector<std::string> contacts = membership.contacts(name);
            if (!contacts.empty())
                roster.others.push_back({contacts.front(), domain.highestGeneration});
        }
        return roster;
    });
}

void ReplicationService::execute(peer::ReplicaActions actions)
{
    if (m_isStopped)
        return;
    for (peer::OutgoingMessage &message : actions.messages)
        m_transport.send(message.vm, std::move(message.envelope));
    for (const auto &content : actions.adopted)
        m_applyTasks->push([this, content] { apply(*content); });
    if (actions.startWatch)
        m_storeTasks->push([this] { startWatch(); });
    if (actions.cancelWatch)
        m_storeTasks->push([this] { m_watch.reset(); });
    for (const std::string &digest : actions.readParts)
        m_storeTasks->push([this, digest] { readPart(digest); });
}

void ReplicationService::startWatch()
{
    m_watch.reset();
    const core::Result<configuration_store::StoredHead> stored = m_configurations.readHead();
    if (!stored) {
        onStoreLost(stored.error());
        return;
    }
    core::Result<std::unique_ptr<platform::Watch>> watch
            = m_store.watch(platform::CallPurpose::Configuration, m_configurations.headKey(), false,
                            stored->storeRevision, *this);
    if (!watch) {
        onStoreLost(watch.error());
        return;
    }
    m_watch = std::move(*watch);
    std::optional<peer::ReplicaHead> head;
    if (stored->head.generation > 0)
        head = toReplicaHead(stored->head);
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_isStoreUnavailable, false))
        m_log.write(
                logging::LogLine("store-regained")
                        .number("generation", static_cast<std::int64_t>(stored->head.generation)));
    execute(m_replica.onWatchStarted(head, m_clock.now()));
}

void ReplicationService::readPart(const std::string &digest)
{
    const core::Result<std::vector<std::string>> texts = m_configurations.readParts({digest});
    const std::lock_guard lock(m_mutex);
    execute(m_replica.onStorePart(digest, texts ? texts->front() : std::string(), m_clock.now()));
}

void ReplicationService::apply(const peer::ReplicaContent &content)
{
    std::vector<config::PartJoiner::Part> parts;
    for (const std::string &digest : content.digests)
        parts.push_back({digest, content.texts.at(digest).get()});
    tl::expected<config::Configuration, config::FaultList> joined = m_joiner.join(parts);
    if (!joined) {
        m_log.write(
                logging::LogLine("configuration-unreadable")
                        .number("generation", static_cast<std::int64_t>(content.head.generation))
                        .text("error", config::toText(joined.error())));
        return;
    }
    joined->generation = content.head.generation;
    const auto configuration = std::make_shared<const config::Configuration>(std::move(*joined));
    const bool isNewer = m_policy.applyConfiguration(configuration);
    m_log.write(logging::LogLine(isNewer ? "configuration-applied" : "configuration-not-newer")
                        .number("generation", static_cast<std::int64_t>(configuration->generation))
                        .text("author", content.head.author));
}

} // namespace sardinehollow::daemon
