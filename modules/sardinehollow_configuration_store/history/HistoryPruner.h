#pragma once

#include "sardinehollow_configuration_store/head/ConfigurationHead.h"
#include "sardinehollow_configuration_store/store/ConfigurationKeys.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <cstdint>
#include <vector>

namespace sardinehollow::configuration_store {

/** Deletes generations beyond the retained history, with the parts that only they used. */
class HistoryPruner
{
public:
    HistoryPruner(platform::KeyValueStore &store, platform::CallPurpose purpose,
                  const ConfigurationKeys &keys, std::uint64_t retainedGenerations);

    /**
     * Deletes the generations that leave the retained history now that the given one is accepted.
     * What could not be deleted is left to the next calls.
     */
    void prune(std::uint64_t acceptedGeneration);

private:
    /** Deletes a generation; returns whether it no longer exists. */
    bool pruneGeneration(std::uint64_t generation);
    core::Result<std::vector<std::string>> readPartDigests(const ConfigurationHead &head);
    /** Deletes the parts that were last written before the revision that dropped them. */
    bool deleteParts(const std::vector<std::string> &digests, std::int64_t droppedAtRevision);

    platform::KeyValueStore &m_store;
    const platform::CallPurpose m_purpose;
    const ConfigurationKeys &m_keys;
    const std::uint64_t m_retainedGenerations;
};

} // namespace sardinehollow::configuration_store
