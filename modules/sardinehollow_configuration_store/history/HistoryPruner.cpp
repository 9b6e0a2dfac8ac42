#include "sardinehollow_configuration_store/history/HistoryPruner.h"

#include "sardinehollow_config/parts/ConfigurationDelta.h"

#include <unordered_set>

namespace sardinehollow::configuration_store {

namespace {

// More than one, so that later calls catch up on generations that an earlier call failed to delete.
constexpr std::uint64_t maximumGenerationsPerCall = 4;

// etcd allows up to 128 operations in a transaction.
constexpr std::size_t deletesPerTransaction = 100;

} // namespace

HistoryPruner::HistoryPruner(platform::KeyValueStore &store, platform::CallPurpose purpose,
                             const ConfigurationKeys &keys, std::uint64_t retainedGenerations)
    : m_store(store)
    , m_purpose(purpose)
    , m_keys(keys)
    , m_retainedGenerations(retainedGenerations)
{ }

void HistoryPruner::prune(std::uint64_t acceptedGeneration)
{
    if (acceptedGeneration <= m_retainedGenerations)
        return;
    const std::uint64_t newest = acceptedGeneration - m_retainedGenerations;
    const std::uint64_t oldest
            = newest < maximumGenerationsPerCall ? 1 : newest - maximumGenerationsPerCall + 1;
    for (std::uint64_t generation = oldest; generation <= newest; ++generation) {
        if (!pruneGeneration(generation))
            return;
    }
}

bool HistoryPruner::pruneGeneration(std::uint64_t generation)
{
    const auto old = m_store.range(m_purpose, m_keys.history(generation), false);
    const auto next = m_store.range(m_purpose, m_keys.history(generation + 1), false);
    if (!old || !next)
        return false;
    if (old->keyValues.empty() || next->keyValues.empty())
        return true;
    const auto oldHead = ConfigurationHead::fromJson(old->keyValues.front().value);
    const auto nextHead = ConfigurationHead::fromJson(next->keyValues.front().value);
    if (!oldHead || !nextHead)
        return false;
    const auto oldParts = readPartDigests(*oldHead);
    const auto nextParts = readPartDigests(*nextHead);
    if (!oldParts || !nextParts)
        return false;
    std::unordered_set<std::string> used(nextParts->begin(), nextParts->end());
    used.insert(nextHead->manifest);
    std::vector<std::string> dropped;
    for (const std::string &digest : *oldParts) {
        if (used.find(digest) == used.end())
            dropped.push_back(digest);
    }
    if (used.find(oldHead->manifest) == used.end())
        dropped.push_back(oldHead->manifest);
    if (!deleteParts(dropped, next->keyValues.front().modRevision))
        return false;
    // The history record is deleted last, so that an interrupted deletion is repeated.
    return m_store.transact(m_purpose, {}, {{m_keys.history(generation), std::nullopt, 0}})
            .has_value();
}

core::Result<std::vector<std::string>> HistoryPruner::readPartDigests(const ConfigurationHead &head)
{
    const auto manifest = m_store.range(m_purpose, m_keys.part(head.manifest), false);
    if (!manifest)
        return tl::unexpected<core::Error>(manifest.error());
    if (manifest->keyValues.empty())
        return std::vector<std::string>();
    return config::readManifest(manifest->keyValues.front().value);
}

bool HistoryPruner::deleteParts(const std::vector<std::string> &digests,
                                std::int64_t droppedAtRevision)
{
    std::vector<platform::Compare> conditions;
    std::vector<platform::Write> deletes;
    const auto flush = [&] {
        if (deletes.empty())
            return true;
        const auto deleted = m_store.transact(m_purpose, conditions, deletes);
        conditions.clear();
        deletes.clear();
        return deleted.has_value();
    };
    for (const std::string &digest : digests) {
        const auto part = m_store.range(m_purpose, m_keys.part(digest), false);
        if (!part)
            return false;
        // A submission writes each part that it adds, even if the part is stored already. A part
        // that was written after it was dropped may be in use again, even before its head is
        // accepted.
        const bool unused = !part->keyValues.empty()
                && part->keyValues.front().modRevision < droppedAtRevision;
        if (!unused)
            continue;
        conditions.push_back({m_keys.part(digest), part->keyValues.front().modRevision});
        deletes.push_back({m_keys.part(digest), std::nullopt, 0});
        if (deletes.size() >= deletesPerTransaction && !flush())
            return false;
    }
    return flush();
}

} // namespace sardinehollow::configuration_store
