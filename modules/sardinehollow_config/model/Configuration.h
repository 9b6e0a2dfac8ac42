#pragma once

#include "sardinehollow_config/model/BackendPool.h"
#include "sardinehollow_config/model/ClientBlock.h"
#include "sardinehollow_config/model/Drain.h"
#include "sardinehollow_config/model/FailureDomain.h"
#include "sardinehollow_config/model/Link.h"
#include "sardinehollow_config/model/RankDefinition.h"
#include "sardinehollow_config/model/Shift.h"
#include "sardinehollow_config/model/Site.h"
#include "sardinehollow_config/model/WorkKind.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sardinehollow::config {

/** The complete configuration of a deployment. Shared between threads as an immutable value. */
struct Configuration
{
    /**
     * Version number in order of acceptance; set from the store's head and not part of an
     * operator's file.
     */
    std::uint64_t generation = 0;
    std::string deployment;
    /** How long callers may cache the answer to a look-up. */
    std::chrono::milliseconds answerLifetime {0};
    /** Most urgent first. */
    std::vector<RankDefinition> ranks;
    std::vector<std::string> regions;
    std::vector<FailureDomain> failureDomains;
    std::vector<Link> links;
    std::vector<BackendPool> pools;
    std::vector<WorkKind> workKinds;
    std::vector<Site> sites;
    std::vector<ClientBlock> clientBlocks;
    std::vector<Shift> shifts;
    std::vector<Drain> drains;

    bool operator==(const Configuration &) const = default;

    /** Returns the region of a failure domain, or an empty string if it is unknown. */
    std::string_view regionOf(std::string_view failureDomain) const;
    /** Returns the position of a rank, or the number of ranks if it is unknown. */
    std::size_t rankIndex(std::string_view rank) const;
    /** Returns the work kind with the name, or nullptr. */
    const WorkKind *workKind(std::string_view name) const;
    /** Returns the pool with the name, or nullptr. */
    const BackendPool *pool(std::string_view name) const;
    /** Whether there is a drain of exactly this target. */
    bool isDrained(DrainTarget target, std::string_view name) const;
    /** Whether there is a drain of the failure domain or of its region. */
    bool isFailureDomainDrained(std::string_view failureDomain) const;
};

} // namespace sardinehollow::config
