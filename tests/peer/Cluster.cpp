#include "peer/Cluster.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "sardinehollow_config/parts/ConfigurationDelta.h"
#include "sardinehollow_core/hash/RendezvousHash.h"
#include "sardinehollow_core/hash/Sha256.h"
#include "support/ExampleConfiguration.h"

#include <algorithm>

namespace sardinehollow::tests {

namespace {

using namespace std::chrono_literals;

constexpr core::Duration step = 100ms;
// Maximum number of consecutive messages that a link loses. Losing more amounts to a partition,
// which the model simulates between failure domains only.
constexpr int maximumConsecutiveLosses = 3;
constexpr std::size_t slotCount = 4;

peer::ReplicaHead toReplica(const configuration_store::ConfigurationHead &head)
{
    return {head.generation,   head.manifest, head.delta,  head.digest,
            head.submissionId, head.author,   head.message};
}

// Whether the parts match their digests and the manifest of the head.
bool isComplete(const peer::ReplicaContent &content)
{
    for (const std::string &digest : content.digests) {
        const auto text = content.texts.find(digest);
        if (text == content.texts.end() || core::sha256Hex(*text->second) != digest)
            return false;
    }
    return config::makeManifest(content.digests).digest == content.head.manifest;
}

} // namespace

Cluster::Cluster(std::size_t domains, std::size_t daemonsPerDomain, std::uint64_t seed)
    : m_domains(domains)
    , m_random(seed)
    , m_configurations(m_store, "test", platform::CallPurpose::Configuration)
{
    for (std::size_t index = 0; index < domains * daemonsPerDomain; ++index) {
        const std::string name = std::to_string(index);
        Node node;
        node.address = {"vm-" + name, "region",   "domain-" + std::to_string(index % domains),
                        "c" + name,   "f" + name, "o" + name,
                        "p" + name,   false};
        m_nodes.push_back(std::move(node));
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index)
        start(index);
}

void Cluster::run(core::Duration duration)
{
    for (const core::Instant end = m_now + duration; m_now < end;) {
        m_now += step;
        deliverDue();
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (isActive(m_nodes[index]))
                advance(index);
        }
        checkGenerations();
        checkOwners();
    }
}

void Cluster::pause(std::size_t index, core::Duration duration)
{
    node(index).pausedUntil = m_now + duration;
}

void Cluster::kill(std::size_t index)
{
    Node &killed = node(index);
    killed.running = false;
    killed.watching = false;
    killed.ownedSince.clear();
}

void Cluster::start(std::size_t index)
{
    Node &started = node(index);
    started.random = std::make_unique<core::SeededRandom>(m_random.next());
    started.membership = std::make_unique<peer::Membership>(started.address, ++m_lastIncarnation,
                                                            peer::MembershipTimes(), m_now);
    // Reserves numbers for the rejoins after pauses, each of which takes the next one.
    m_lastIncarnation += 100;
    started.replica = std::make_unique<peer::ConfigurationReplica>(peer::ReplicaTimes(),
                                                                   *started.random, m_now);
    started.filter = std::make_unique<peer::MessageFilter>("test");
    started.sequences.clear();
    started.knownAddresses.clear();
    started.running = true;
    started.watching = false;
    started.pausedUntil = m_now;
    started.highestGeneration = 0;
    started.ownedSince.clear();
    publishVmList();
}

void Cluster::leave(std::size_t index)
{
    if (isActive(node(index)))
        send(index % m_nodes.size(), node(index).membership->leave(m_now));
}

void Cluster::partition(std::size_t domain, bool cut)
{
    if (cut)
        m_partitionedDomains.insert(domain % m_domains);
    else
        m_partitionedDomains.erase(domain % m_domains);
}

void Cluster::cutLink(std::size_t from, std::size_t to, bool cut)
{
    if (cut)
        m_cutLinks.insert({from, to});
    else
        m_cutLinks.erase({from, to});
}

void Cluster::setStoreOutage(bool outage)
{
    m_store.outage = outage;
    if (outage)
        endWatches();
}

std::optional<std::uint64_t> Cluster::submit(std::optional<std::uint64_t> base)
{
    configuration_store::Submission submission;
    submission.configuration = *config::readConfiguration(exampleConfiguration);
    submission.configuration.answerLifetime = std::chrono::milliseconds(1000 + ++m_submissions);
    submission.submissionId = std::to_string(m_submissions);
    submission.baseGeneration = base;
    const auto head = m_configurations.submit(submission);
    if (!head)
        return {};
    m_acceptedManifests[head->generation].insert(head->manifest);
    m_snapshots.push_back(m_store.values);
    notifyWatches();
    return head->generation;
}

void Cluster::rollBackStore(std::size_t snapshot)
{
    if (m_snapshots.empty() || m_store.outage)
        return;
    m_store.values = m_snapshots[snapshot % m_snapshots.size()];
    endWatches();
}

void Cluster::setNetworkFaults(std::uint64_t lost, std::uint64_t duplicated, std::uint64_t delayed)
{
    m_lostPercent = lost;
    m_duplicatedPercent = duplicated;
    m_delayedPercent = delayed;
}

void Cluster::heal()
{
    setNetworkFaults(0, 0, 0);
    m_partitionedDomains.clear();
    m_store.outage = false;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        m_nodes[index].pausedUntil = std::min(m_nodes[index].pausedUntil, m_now);
        if (!m_nodes[index].running || m_nodes[index].membership->isLeaving())
            start(index);
    }
}

std::optional<peer::DropReason> Cluster::deliver(std::size_t index, const std::string &bytes)
{
    Node &receiver = node(index);
    const auto accepted = receiver.filter->accept(bytes, m_now);
    if (!accepted)
        return accepted.error();
    send(index, receiver.membership->onMessage(*accepted, m_now));
    execute(index, receiver.replica->onMessage(*accepted, m_now));
    return {};
}

std::string Cluster::convergenceError() const
{
    std::uint64_t highest = 0;
    for (const Node &item : m_nodes)
        highest = std::max(highest, item.replica->generation());
    for (const Node &item : m_nodes) {
        if (item.replica->generation() != highest)
            return item.address.vm + " has generation " + std::to_string(item.replica->generation())
                    + " of " + std::to_string(highest);
        const auto view = item.membership->view();
        if (view->peers.size() != m_nodes.size())
            return item.address.vm + " sees " + std::to_string(view->peers.size()) + " daemons";
        for (const policy::Peer &peer : view->peers) {
            if (peer.leaving)
                return item.address.vm + " shows " + peer.vm + " as leaving";
            if (peer.incarnation != m_nodes[*indexOf(peer.vm)].membership->incarnation())
                return item.address.vm + " has a stale incarnation of " + peer.vm;
        }
    }
    return {};
}

void Cluster::send(std::size_t from, peer::OutgoingMessages messages)
{
    Node &sender = m_nodes[from];
    if (sender.sequenceIncarnation != sender.membership->incarnation()) {
        sender.sequenceIncarnation = sender.membership->incarnation();
        sender.sequences.clear();
    }
    for (peer::OutgoingMessage &message : messages) {
        const std::optional<std::size_t> to = indexOf(message.vm);
        if (!to)
            continue;
        message.envelope.set_protocol_version(peer::protocolVersion);
        message.envelope.set_deployment("test");
        message.envelope.set_sender_id(sender.address.vm);
        message.envelope.set_incarnation(sender.sequenceIncarnation);
        message.envelope.set_sequence(++sender.sequences[message.vm]);
        const std::string bytes = message.envelope.SerializeAsString();
        sender.sentBytes += bytes.size();
        int &consecutiveLosses = m_consecutiveLosses[{from, *to}];
        if (m_random.nextBelow(100) < m_lostPercent
            && consecutiveLosses < maximumConsecutiveLosses) {
            ++consecutiveLosses;
            continue;
        }
        consecutiveLosses = 0;
        core::Instant due = m_now + step;
        if (m_random.nextBelow(100) < m_delayedPercent)
            due += step * static_cast<int>(m_random.nextBelow(4));
        m_packets.push_back({due, from, *to, bytes});
        if (m_random.nextBelow(100) < m_duplicatedPercent)
            m_packets.push_back({due + 2 * step, from, *to, bytes});
    }
}

void Cluster::execute(std::size_t index, peer::ReplicaActions actions)
{
    send(index, std::move(actions.messages));
    for (const auto &content : actions.adopted) {
        const std::uint64_t generation = content->head.generation;
        Node &adopting = m_nodes[index];
        if (generation <= adopting.highestGeneration)
            fail(adopting.address.vm + " reverted to generation " + std::to_string(generation));
        adopting.highestGeneration = generation;
        if (m_acceptedManifests[generation].count(content->head.manifest) == 0)
            fail(adopting.address.vm + " adopted a configuration that was never accepted");
        if (!isComplete(*content))
            fail(adopting.address.vm + " adopted damaged parts");
        send(index, adopting.membership->setLocal({generation, 0.0, ""}, m_now));
    }
    if (actions.cancelWatch)
        m_nodes[index].watching = false;
    if (actions.startWatch)
        startWatch(index);
    for (const std::string &digest : actions.readParts) {
        const auto texts = m_configurations.readParts({digest});
        execute(index,
                m_nodes[index].replica->onStorePart(digest, texts ? texts->front() : std::string(),
                                                    m_now));
    }
}

void Cluster::startWatch(std::size_t index)
{
    Node &watcher = m_nodes[index];
    const auto stored = m_configurations.readHead();
    if (!stored) {
        watcher.replica->onStoreLost(m_now);
        return;
    }
    watcher.watching = true;
    std::optional<peer::ReplicaHead> head;
    if (stored->head.generation > 0)
        head = toReplica(stored->head);
    execute(index, watcher.replica->onWatchStarted(head, m_now));
}

void Cluster::deliverDue()
{
    std::vector<Packet> waiting;
    std::swap(waiting, m_packets);
    for (Packet &packet : waiting) {
        Node &receiver = m_nodes[packet.to];
        const bool paused = receiver.running && m_now < receiver.pausedUntil;
        if (packet.due > m_now || paused) {
            m_packets.push_back(std::move(packet));
            continue;
        }
        const std::size_t fromDomain = packet.from % m_domains;
        const std::size_t toDomain = packet.to % m_domains;
        const bool cut = fromDomain != toDomain
                && (m_partitionedDomains.count(fromDomain) != 0
                    || m_partitionedDomains.count(toDomain) != 0);
        const bool linkCut = m_cutLinks.count({packet.from, packet.to}) != 0;
        if (receiver.running && !cut && !linkCut)
            deliver(packet.to, packet.bytes);
    }
}

void Cluster::advance(std::size_t index)
{
    Node &item = m_nodes[index];
    send(index, item.membership->advance(m_now));
    std::map<std::string, std::string> addresses = item.membership->addresses();
    if (addresses != item.knownAddresses) {
        item.filter->setSenders(addresses);
        item.knownAddresses = std::move(addresses);
    }
    execute(index, item.replica->advance(rosterOf(item), m_now));
}

void Cluster::notifyWatches()
{
    const auto stored = m_configurations.readHead();
    for (std::size_t index = 0; stored && index < m_nodes.size(); ++index) {
        if (m_nodes[index].watching && isActive(m_nodes[index]))
            execute(index, m_nodes[index].replica->onStoreHead(toReplica(stored->head), m_now));
    }
}

void Cluster::endWatches()
{
    for (Node &item : m_nodes) {
        if (item.watching)
            item.replica->onStoreLost(m_now);
        item.watching = false;
    }
}

peer::ReplicaRoster Cluster::rosterOf(const Node &item) const
{
    peer::ReplicaRoster roster;
    roster.relay = item.membership->isRelay();
    roster.generationsKnown = !item.membership->isFenced();
    for (const auto &[vm, member] : item.membership->members()) {
        if (member.alive)
            roster.members.push_back({vm, member.generation});
    }
    for (const auto &[name, domain] : item.membership->remoteDomains()) {
        const std::vector<std::string> contacts = item.membership->contacts(name);
        if (!contacts.empty())
            roster.others.push_back({contacts.front(), domain.highestGeneration});
    }
    return roster;
}

std::optional<std::size_t> Cluster::indexOf(const std::string &vm) const
{
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index].address.vm == vm)
            return index;
    }
    return {};
}

void Cluster::publishVmList()
{
    std::vector<peer::MemberAddress> vms;
    for (const Node &item : m_nodes)
        vms.push_back(item.address);
    for (Node &item : m_nodes) {
        if (item.membership)
            item.membership->onVmList(vms);
    }
}

void Cluster::checkGenerations()
{
    for (const Node &item : m_nodes) {
        if (item.replica->generation() < item.highestGeneration)
            fail(item.address.vm + " lost its generation");
    }
}

void Cluster::checkOwners()
{
    std::map<std::string, std::string> owners;
    for (Node &item : m_nodes) {
        const auto view = item.membership->view();
        std::vector<std::string> candidates;
        for (const policy::Peer &peer : view->peers) {
            if (!peer.leaving && peer.failureDomain == item.address.failureDomain)
                candidates.push_back(peer.vm);
        }
        for (std::size_t slot = 0; slot < slotCount; ++slot) {
            const std::string name = item.address.failureDomain + "/" + std::to_string(slot);
            const auto owner = core::rendezvousOwner(name, candidates);
            const bool owned = owner && candidates[*owner] == item.address.vm;
            if (!owned) {
                item.ownedSince.erase(name);
                continue;
            }
            if (item.membership->isFenced())
                fail(item.address.vm + " is fenced and owns " + name);
            const core::Instant since = item.ownedSince.emplace(name, m_now).first->second;
            const bool admits = isActive(item) && m_now - since >= peer::MembershipTimes().holdOff;
            if (admits && !owners.emplace(name, item.address.vm).second)
                fail(item.address.vm + " and " + owners[name] + " own " + name);
        }
    }
}

void Cluster::fail(const std::string &text)
{
    if (m_violation.empty())
        m_violation = text + " at "
                + std::to_string(
                              std::chrono::duration_cast<std::chrono::milliseconds>(m_now).count())
                + " ms";
}

} // namespace sardinehollow::tests
