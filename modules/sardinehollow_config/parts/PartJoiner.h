#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_config/model/Configuration.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinehollow::config {

/**
 * Joins parts into a configuration. Caches the parsed client blocks of the last configuration, so
 * that after a change only new parts are parsed. Not safe for concurrent use.
 */
class PartJoiner
{
public:
    using SiteIndexes = std::unordered_map<std::string, std::uint32_t>;

    struct Part
    {
        std::string digest;
        /** Not null. */
        const std::string *text = nullptr;
    };

    /** Joins all parts, in order, and validates the result. */
    tl::expected<Configuration, FaultList> join(const std::vector<Part> &parts);

private:
    using Blocks = std::shared_ptr<const std::vector<ClientBlock>>;

    Blocks parseBlocks(const std::string &text, FaultList &faults) const;

    SiteIndexes m_sites;
    /** Client blocks by the digest of their part. */
    std::unordered_map<std::string, Blocks> m_cachedBlocks;
};

} // namespace sardinehollow::config
