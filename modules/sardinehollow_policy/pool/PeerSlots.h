#pragma once

#include "sardinehollow_policy/facade/PolicySettings.h"
#include "sardinehollow_policy/facade/PoolSummary.h"
#include "sardinehollow_policy/peers/Peer.h"
#include "sardinehollow_policy/pool/QueueEntry.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::policy {

/**
 * Estimates the free slots and queueing delay of peers that own slots of a pool, from their
 * summaries and from the requests forwarded to them since.
 */
class PeerSlots
{
public:
    explicit PeerSlots(const PolicySettings &settings)
        : m_settings(settings)
    { }

    /** Resets the owned slots of all peers; keeps peers with requests outstanding. */
    void clearOwners();
    /** Adds the slots of one backend server to the peer that owns it. */
    void addOwner(const Peer &peer, std::uint32_t slots);
    /** Replaces the estimates for the sender; ignored if the sender is not a known owner. */
    void onSummary(const PoolSummary &summary, core::Instant now);
    /** Records that the peer had no slot for a request of the rank. */
    void onRejected(const std::string &vm, std::size_t rank, core::Instant now);
    /** Records the end of a forwarded request; hadSlot tells whether the owner gave it a slot. */
    void onFinished(const std::string &vm, std::size_t rank, bool hadSlot);

    bool hasOwners() const;
    /** Whether a peer that is not in tried owns slots. */
    bool hasUntriedOwner(const std::set<std::string> &tried) const;
    /**
     * Returns an owner with free slots for the rank, or nullptr. Owners are weighted by their free
     * slots; the choice is derived from the request id.
     */
    const Peer *chooseFree(const QueueEntry &entry, std::size_t rank,
                           const std::set<std::string> &tried, core::Instant now) const;
    /** Returns the owner with the shortest estimated wait below the given one, or nullptr. */
    const Peer *chooseShorterWait(std::size_t rank, core::Duration wait,
                                  const std::set<std::string> &tried, core::Instant now) const;
    /** Records that a request of the rank with this mean service time is sent to the owner. */
    void onForwarded(const std::string &vm, std::size_t rank, core::Duration serviceTime,
                     core::Instant now);

private:
    struct Rank
    {
        double freeSlots = 0.0;
        /** Estimated time at which a request sent now would start. */
        core::Instant estimatedStart {0};
    };
    struct Owner
    {
        Peer peer;
        std::uint32_t ownedSlots = 0;
        /** Requests that this daemon forwarded and that have not ended. */
        std::uint32_t outstanding = 0;
        std::vector<Rank> ranks;
        /** Time of the last summary or rejection. */
        core::Instant reportedAt {0};
        bool reported = false;
    };

    bool hasFreshSummary(const Owner &owner, std::size_t rank, core::Instant now) const;
    double freeSlots(const Owner &owner, std::size_t rank, core::Instant now) const;

    const PolicySettings &m_settings;
    std::map<std::string, Owner> m_owners;
};

} // namespace sardinehollow::policy
