#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_policy/pool/ServerAvoidance.h"
#include "sardinehollow_policy/pool/ServerSlots.h"
#include "sardinehollow_policy/pool/SlotOwners.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::policy {

/** The backend servers of a pool as one daemon sees them. */
class ServerSet
{
public:
    explicit ServerSet(const PolicySettings &settings)
        : m_settings(settings)
        , m_avoidance(settings)
    { }

    void update(const config::Configuration &configuration, const config::BackendPool &pool,
                const SlotOwners &owners, const PeerView &peers);
    void advance(core::Instant now);

    /** Returns the server, also one that left the configuration with work in flight, or nullptr. */
    ServerSlots *find(const std::string &name) const;
    /** Returns the least used owned server with a free slot that is not in tried, or nullptr. */
    ServerSlots *choose(const std::set<std::string> &tried, core::Instant now) const;
    /** Whether an owned server that is not in tried may get work now or after its hold-off. */
    bool hasCandidate(const std::set<std::string> &tried, core::Instant now) const;
    /** Returns when the first owned server admits, or Instant::max() if none will. */
    core::Instant admitsAt() const;

    /** Slots that owned servers may use, whether free or in use. */
    std::uint32_t usableSlots(core::Instant now) const;
    /** Slots on which a request could start now, with one for a probe of an unreachable server. */
    std::uint32_t startableSlots(core::Instant now) const;
    std::uint32_t freeSlots(core::Instant now) const;
    void judge(ServerSlots &server, core::Instant now) const;

    const std::map<std::string, std::unique_ptr<ServerSlots>> &servers() const { return m_servers; }

private:
    const PolicySettings &m_settings;
    ServerAvoidance m_avoidance;
    std::map<std::string, std::unique_ptr<ServerSlots>> m_servers;
    std::vector<ServerSlots *> m_owned;
    bool m_updated = false;
};

} // namespace sardinehollow::policy
