#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_config/parts/ConfigurationPart.h"
#include "sardinehollow_configuration_store/head/StoredHead.h"
#include "sardinehollow_configuration_store/history/HistoryPruner.h"
#include "sardinehollow_configuration_store/store/ConfigurationKeys.h"
#include "sardinehollow_configuration_store/store/Submission.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <memory>
#include <vector>

namespace sardinehollow::configuration_store {

/** Reads and submits configurations in the platform's store. Safe for concurrent use. */
class ConfigurationStore
{
public:
    ConfigurationStore(platform::KeyValueStore &store, const std::string &deployment,
                       platform::CallPurpose purpose);

    /** Key of the head in the store, for example to watch it. */
    std::string headKey() const;
    /** Reads the head in force; generation 0 if no configuration was submitted yet. */
    core::Result<StoredHead> readHead();
    /**
     * Reads the texts of the parts with the given digests, in that order. Error NotFound if one is
     * missing or does not match its digest.
     */
    core::Result<std::vector<std::string>> readParts(const std::vector<std::string> &digests);
    /** Loads and validates the configuration of a head. */
    core::Result<config::Configuration> load(const ConfigurationHead &head);
    /** As load, without the client blocks, which are most of a large configuration. */
    core::Result<config::Configuration> loadWithoutClientBlocks(const ConfigurationHead &head);
    /** Returns the heads of accepted generations, newest first, up to the limit. */
    core::Result<std::vector<ConfigurationHead>> history(std::size_t limit);

    /**
     * Puts a configuration in force by a compare-and-swap of the head, and returns the new head.
     * Errors: Conflict if another change was accepted since the base (the message names it),
     * ResultUnknown if the store's reply was lost and reading back failed as well.
     */
    core::Result<ConfigurationHead> submit(const Submission &submission);

private:
    /** Writes the parts that the base lacks and sets digest, manifest and delta of the head. */
    core::Result<void> writeParts(const Submission &submission, const ConfigurationHead &base,
                                  ConfigurationHead &head);
    core::Result<std::vector<std::string>> readManifest(const ConfigurationHead &head);
    core::Result<config::Configuration> join(const ConfigurationHead &head,
                                             const std::vector<std::string> &digests);
    core::Result<void> writePart(const config::ConfigurationPart &part);
    std::string makeDelta(std::uint64_t baseGeneration, const std::vector<std::string> &baseDigests,
                          const std::vector<config::ConfigurationPart> &parts);
    /** Reads the history to find out whether the submission or another one was accepted. */
    core::Result<ConfigurationHead> resolveOutcome(const ConfigurationHead &submitted);
    tl::unexpected<core::Error> conflict(const ConfigurationHead &current) const;

    platform::KeyValueStore &m_store;
    const ConfigurationKeys m_keys;
    const platform::CallPurpose m_purpose;
    HistoryPruner m_pruner;
};

} // namespace sardinehollow::configuration_store
