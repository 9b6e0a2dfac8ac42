#pragma once

#include "sardinehollow_configuration_store/store/ConfigurationStore.h"
#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_peer/membership/Membership.h"
#include "sardinehollow_peer/replication/ConfigurationReplica.h"
#include "sardinehollow_peer/transport/MessageFilter.h"
#include "support/FakeStore.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::tests {

/**
 * Simulates several daemons in virtual time and without sockets, with a store and a network that
 * inject faults.
 */
class Cluster
{
public:
    struct Node
    {
        peer::MemberAddress address;
        std::unique_ptr<core::SeededRandom> random;
        std::unique_ptr<peer::Membership> membership;
        std::unique_ptr<peer::ConfigurationReplica> replica;
        std::unique_ptr<peer::MessageFilter> filter;
        std::map<std::string, std::uint64_t> sequences;
        std::uint64_t sequenceIncarnation = 0;
        std::map<std::string, std::string> knownAddresses;
        core::Instant pausedUntil {0};
        bool running = true;
        bool watching = false;
        std::uint64_t highestGeneration = 0;
        /** Times since which the node has considered itself the owner of a slot, by slot. */
        std::map<std::string, core::Instant> ownedSince;
        std::uint64_t sentBytes = 0;
    };

    Cluster(std::size_t domains, std::size_t daemonsPerDomain, std::uint64_t seed);

    /** Advances the time in steps of 100 ms; checks all invariants after each step. */
    void run(core::Duration duration);

    Node &node(std::size_t index) { return m_nodes.at(index % m_nodes.size()); }
    std::vector<Node> &nodes() { return m_nodes; }
    core::Instant now() const { return m_now; }
    FakeStore &store() { return m_store; }

    void pause(std::size_t index, core::Duration duration);
    void kill(std::size_t index);
    void start(std::size_t index);
    void leave(std::size_t index);
    /** Cuts or restores the links of a failure domain to all others. */
    void partition(std::size_t domain, bool cut);
    /** Cuts or restores the link from one daemon to another, in this direction only. */
    void cutLink(std::size_t from, std::size_t to, bool cut);
    void setStoreOutage(bool outage);
    /**
     * Submits a configuration change based on a generation, by default the latest one. Returns the
     * generation of the change, or nothing if the store did not accept it.
     */
    std::optional<std::uint64_t> submit(std::optional<std::uint64_t> base = {});
    /**
     * Restores the store from a snapshot by its index, modulo their number; each submission takes
     * one.
     */
    void rollBackStore(std::size_t snapshot);
    /** Sets the percentages of messages that are lost, duplicated and delayed. */
    void setNetworkFaults(std::uint64_t lost, std::uint64_t duplicated, std::uint64_t delayed);
    /** Ends the faults and starts every daemon that has stopped or is leaving. */
    void heal();
    /**
     * Delivers a message to a node as the transport would; returns the reason if it was dropped.
     */
    std::optional<peer::DropReason> deliver(std::size_t index, const std::string &bytes);

    /** Describes the first violated invariant; empty if there is none. */
    const std::string &violation() const { return m_violation; }
    /** Describes why the daemons have not converged; empty if they have. */
    std::string convergenceError() const;

private:
    struct Packet
    {
        core::Instant due;
        std::size_t from;
        std::size_t to;
        std::string bytes;
    };

    void send(std::size_t from, peer::OutgoingMessages messages);
    void execute(std::size_t index, peer::ReplicaActions actions);
    void startWatch(std::size_t index);
    void deliverDue();
    void advance(std::size_t index);
    void notifyWatches();
    void endWatches();
    peer::ReplicaRoster rosterOf(const Node &node) const;
    bool isActive(const Node &node) const { return node.running && m_now >= node.pausedUntil; }
    std::optional<std::size_t> indexOf(const std::string &vm) const;
    void publishVmList();
    void checkGenerations();
    void checkOwners();
    void fail(const std::string &text);

    const std::size_t m_domains;
    core::SeededRandom m_random;
    core::Instant m_now {std::chrono::seconds(1000)};
    std::uint64_t m_lastIncarnation = 1000;
    FakeStore m_store;
    configuration_store::ConfigurationStore m_configurations;
    std::vector<std::map<std::string, platform::KeyValue>> m_snapshots;
    /** Digests of the manifests that the store accepted, by generation. */
    std::map<std::uint64_t, std::set<std::string>> m_acceptedManifests;
    std::uint64_t m_submissions = 0;
    std::vector<Node> m_nodes;
    std::vector<Packet> m_packets;
    std::set<std::size_t> m_partitionedDomains;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::map<std::pair<std::size_t, std::size_t>, int> m_consecutiveLosses;
    std::uint64_t m_lostPercent = 0;
    std::uint64_t m_duplicatedPercent = 0;
    std::uint64_t m_delayedPercent = 0;
    std::string m_violation;
};

} // namespace sardinehollow::tests
