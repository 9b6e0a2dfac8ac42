#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_policy/pool/OutlierDetector.h"
#include "sardinehollow_policy/pool/ServerSlots.h"
#include "sardinehollow_policy/pool/SlotOwners.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::policy {

/** Backend servers of a pool, with their slots and health as seen by the local daemon. */
class ServerSet
{
public:
    explicit ServerSet(const PolicySettings &settings)
        : m_settings(settings)
        , m_outlierDetector(settings)
    { }

    /** Applies a configuration and the slot owners that follow from the membership view. */
    void update(const config::Configuration &configuration, const config::BackendPool &pool,
                const SlotOwners &owners, const PeerView &peers);
    void advance(core::Instant now);

    /** Returns the server or nullptr; removed servers are found while requests are in flight. */
    ServerSlots *find(const std::string &name) const;
    /** Returns the owned server with a free slot, not in tried, that is least used, or nullptr. */
    ServerSlots *chooseLeastUsed(const std::set<std::string> &tried, core::Instant now) const;
    /**
     * Whether an owned server not in tried is neither leaving nor drained, so that it accepts
     * requests now or later, for example after its hold-off.
     */
    bool hasCandidate(const std::set<std::string> &tried, core::Instant now) const;
    /** Returns when the first owned server admits requests, or Instant::max() if none is owned. */
    core::Instant admitsAt() const;

    /** Returns the usable slots, free or in use; an unreachable server counts as one slot. */
    std::uint32_t usableSlots(core::Instant now) const;
    /** Returns the free slots, plus one for each unreachable server that is due for a probe. */
    std::uint32_t startableSlots(core::Instant now) const;
    /** Returns the free slots of owned servers in the Serving state. */
    std::uint32_t freeSlots(core::Instant now) const;
    void avoidIfOutlier(ServerSlots &server, core::Instant now) const;

    const std::map<std::string, std::unique_ptr<ServerSlots>> &servers() const { return m_servers; }

private:
    const PolicySettings &m_settings;
    OutlierDetector m_outlierDetector;
    std::map<std::string, std::unique_ptr<ServerSlots>> m_servers;
    std::vector<ServerSlots *> m_owned;
    bool m_hasConfiguration = false;
};

} // namespace sardinehollow::policy
