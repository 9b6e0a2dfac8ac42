#pragma once

#include "sardinehollow_config/model/BackendServer.h"
#include "sardinehollow_policy/facade/BackendReport.h"
#include "sardinehollow_policy/facade/PolicySettings.h"
#include "sardinehollow_policy/facade/ServerState.h"
#include "sardinehollow_policy/pool/ServerHealth.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::policy {

/** Slots of one backend server: ownership, concurrency limit and requests in flight. */
class ServerSlots
{
public:
    ServerSlots(const PolicySettings &settings, const config::BackendServer &server);

    const config::BackendServer &server() const { return m_server; }
    ServerHealth &health() { return m_health; }
    const ServerHealth &health() const { return m_health; }
    std::uint32_t inFlight() const { return m_inFlight; }
    bool isOwned() const { return m_owned; }
    const std::string &owner() const { return m_owner; }
    bool isDrained() const { return m_drained; }
    bool isLeaving() const { return m_leaving; }
    /**
     * Returns when the server is expected to admit requests. This is before the end of the hold-off
     * if the former owner is expected to release the slots.
     */
    core::Instant admitsAt() const;

    void setServer(const config::BackendServer &server);
    /** Sets the owner; formerOwnerLeaving tells that the previous one is alive and leaving. */
    void setOwner(const std::string &owner, bool isLocal, bool formerOwnerLeaving);
    void setDrained(bool drained);
    /** Starts a slow start: reduces the limit to a fraction of the slots. */
    void beginSlowStart();

    /** Applies state changes that are pending or due. */
    void advance(core::Instant now);
    /** Applies a load report; a leaving signal persists for at least the leaving latch. */
    void onReport(const BackendReport &report);
    /** Whether the local daemon was admitting requests until it recently lost ownership. */
    bool wasRecentlyReleased(core::Instant now) const;
    /** Sets how many requests a former owner still has in flight at the server. */
    void setInFlightElsewhere(const std::string &vm, std::uint32_t inFlight);
    /**
     * Records that a daemon has stopped admitting and reported its requests in flight. A release by
     * the former owner ends the hold-off.
     */
    void onOwnershipReleased(const std::string &vm, core::Instant now);

    ServerState state(core::Instant now) const;
    /** Returns the usable slots, both free and in use. */
    std::uint32_t limit(core::Instant now) const;
    bool hasFreeSlot(core::Instant now) const;

    void acquire();
    void release();
    /** Records a response; raises a limit that slow start or load shedding reduced. */
    void onSuccess(double relativeLatency);
    /** Lowers the limit after the server refused a request because it was full. */
    void onShed();
    /** Records a failed connection; the server is then probed with exponential back-off. */
    void onConnectFailed(core::Instant now);

private:
    void beginHoldOff(core::Instant now);
    std::uint32_t recentPeakInFlight() const;

    const PolicySettings &m_settings;
    config::BackendServer m_server;
    ServerHealth m_health;
    std::uint32_t m_inFlight = 0;
    std::map<std::string, std::uint32_t> m_inFlightElsewhere;

    bool m_owned = false;
    std::string m_owner;
    std::string m_formerOwner;
    /** Owner that released the server before the local view showed a new owner. */
    std::string m_earlyReleaseBy;
    core::Instant m_earlyReleaseAt {0};
    bool m_releasedLocally = false;
    core::Instant m_releasedAt {0};
    bool m_releaseExpected = false;
    core::Instant m_releaseExpectedAt = core::Instant::min();
    bool m_holdOffPending = false;
    core::Instant m_advancedAt = core::Instant::min();
    core::Instant m_admitsAt = core::Instant::min();

    bool m_drained = false;
    bool m_leaving = false;
    core::Instant m_leavingSince {0};

    /** Adaptive concurrency limit: reduced by slow start and load shedding, raised by responses. */
    double m_adaptiveLimit;

    std::uint32_t m_connectFailures = 0;
    core::Instant m_nextProbeAt = core::Instant::min();

    BackendReport m_report;
    bool m_hasReport = false;
    /** Peak number of requests in flight in the current and the previous report lifetime. */
    std::uint32_t m_peakInFlight = 0;
    std::uint32_t m_previousPeakInFlight = 0;
    core::Instant m_peakSince {0};
};

} // namespace sardinehollow::policy
