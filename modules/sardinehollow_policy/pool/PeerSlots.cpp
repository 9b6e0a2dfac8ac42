#include "sardinehollow_policy/pool/PeerSlots.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::policy {

namespace {

// Limits how many requests this daemon forwards on the basis of an outdated summary.
constexpr std::uint32_t maximumOutstandingPerSlot = 4;

core::Instant addSaturating(core::Instant now, core::Duration wait)
{
    return wait < core::Duration::max() - now ? now + wait : core::Instant::max();
}

} // namespace

void PeerSlots::clearOwners()
{
    std::erase_if(m_owners, [](const auto &item) {
        return item.second.ownedSlots == 0 && item.second.outstanding == 0;
    });
    for (auto &[vm, owner] : m_owners)
        owner.ownedSlots = 0;
}

void PeerSlots::addOwner(const Peer &peer, std::uint32_t slots)
{
    Owner &owner = m_owners[peer.vm];
    // Summaries from before a restart of the peer are no longer valid.
    if (owner.peer.incarnation != peer.incarnation)
        owner.reported = false;
    owner.peer = peer;
    owner.ownedSlots += slots;
}

void PeerSlots::onSummary(const PoolSummary &summary, core::Instant now)
{
    const auto found = m_owners.find(summary.vm);
    if (found == m_owners.end())
        return;
    Owner &owner = found->second;
    owner.ranks.clear();
    for (const PoolSummary::Rank &rank : summary.ranks)
        owner.ranks.push_back({static_cast<double>(rank.freeSlots), addSaturating(now, rank.wait)});
    owner.reportedAt = now;
    owner.reported = true;
}

void PeerSlots::onRejected(const std::string &vm, std::size_t rank, core::Instant now)
{
    const auto found = m_owners.find(vm);
    if (found == m_owners.end())
        return;
    Owner &owner = found->second;
    owner.ranks.resize(std::max(owner.ranks.size(), rank + 1));
    owner.ranks[rank] = {0.0, core::Instant::max()};
    owner.reportedAt = now;
    owner.reported = true;
}

void PeerSlots::onFinished(const std::string &vm, std::size_t rank, bool hadSlot)
{
    const auto found = m_owners.find(vm);
    if (found == m_owners.end() || found->second.outstanding == 0)
        return;
    Owner &owner = found->second;
    --owner.outstanding;
    // Until the next summary, assume that the released slot is free.
    if (hadSlot && rank < owner.ranks.size())
        owner.ranks[rank].freeSlots += 1.0;
}

bool PeerSlots::hasOwners() const
{
    return std::any_of(m_owners.begin(), m_owners.end(),
                       [](const auto &item) { return item.second.ownedSlots > 0; });
}

bool PeerSlots::hasUntriedOwner(const std::set<std::string> &tried) const
{
    return std::any_of(m_owners.begin(), m_owners.end(), [&tried](const auto &item) {
        return item.second.ownedSlots > 0 && tried.count(item.first) == 0;
    });
}

const Peer *PeerSlots::chooseFree(const QueueEntry &entry, std::size_t rank,
                                  const std::set<std::string> &tried, core::Instant now) const
{
    double total = 0.0;
    for (const auto &[vm, owner] : m_owners) {
        if (tried.count(vm) == 0)
            total += freeSlots(owner, rank, now);
    }
    const std::uint64_t hash = core::combineHashes(entry.id.incarnation, entry.id.sequence);
    double remainingWeight = core::hashToUnit(hash) * total;
    const Peer *chosen = nullptr;
    for (const auto &[vm, owner] : m_owners) {
        const double weight = tried.count(vm) == 0 ? freeSlots(owner, rank, now) : 0.0;
        if (weight <= 0.0)
            continue;
        chosen = &owner.peer;
        if (remainingWeight < weight)
            break;
        remainingWeight -= weight;
    }
    return chosen;
}

const Peer *PeerSlots::chooseShorterWait(std::size_t rank, core::Duration wait,
                                         const std::set<std::string> &tried,
                                         core::Instant now) const
{
    const Peer *chosen = nullptr;
    core::Instant earliestStart = addSaturating(now, wait);
    for (const auto &[vm, owner] : m_owners) {
        const bool eligible = tried.count(vm) == 0 && hasFreshSummary(owner, rank, now)
                && owner.outstanding < maximumOutstandingPerSlot * owner.ownedSlots;
        // estimatedStart is a fixed time, so the estimated wait shrinks between summaries as the
        // owner works through its queue.
        if (!eligible || owner.ranks[rank].estimatedStart >= earliestStart)
            continue;
        earliestStart = owner.ranks[rank].estimatedStart;
        chosen = &owner.peer;
    }
    return chosen;
}

void PeerSlots::onForwarded(const std::string &vm, std::size_t rank, core::Duration serviceTime,
                            core::Instant now)
{
    Owner &owner = m_owners.at(vm);
    ++owner.outstanding;
    for (Rank &other : owner.ranks)
        other.freeSlots -= 1.0;
    if (rank >= owner.ranks.size() || owner.ranks[rank].estimatedStart == core::Instant::max())
        return;
    core::Instant &estimatedStart = owner.ranks[rank].estimatedStart;
    estimatedStart = std::max(estimatedStart, now) + serviceTime / std::max(1U, owner.ownedSlots);
}

bool PeerSlots::hasFreshSummary(const Owner &owner, std::size_t rank, core::Instant now) const
{
    return owner.ownedSlots > 0 && owner.reported && rank < owner.ranks.size()
            && now - owner.reportedAt <= m_settings.summaryLifetime;
}

double PeerSlots::freeSlots(const Owner &owner, std::size_t rank, core::Instant now) const
{
    // Never more than the owner's slots less the outstanding requests, whatever it announced.
    double free = static_cast<double>(owner.ownedSlots) - owner.outstanding;
    if (hasFreshSummary(owner, rank, now))
        free = std::min(free, owner.ranks[rank].freeSlots);
    return std::floor(std::max(0.0, free));
}

} // namespace sardinehollow::policy
