#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_core/time/TokenBucket.h"
#include "sardinehollow_routing/backends/BackendServer.h"
#include "sardinehollow_routing/backends/ConnectFailure.h"
#include "sardinehollow_routing/backends/ServerRateLimit.h"
#include "sardinehollow_routing/backends/TimeAverage.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinehollow::routing {

/**
 * This daemon's view of one incarnation of a backend server: load estimate, service time, failures
 * and slow start. Not safe for concurrent use.
 */
class BackendState
{
public:
    /** The seed differs between daemons; see ServerRateLimit. */
    BackendState(BackendServer server, std::string region, std::uint64_t daemonSeed = 0);

    const BackendServer &server() const { return m_server; }
    const std::string &region() const { return m_region; }
    /** Hash of the server's id, for rendezvous hashing. */
    std::uint64_t hash() const { return m_hash; }

    /** Applies a later store entry of the same incarnation. */
    void update(const BackendServer &server, core::Instant now);
    /** Whether the server has left the registry; no new requests are sent to it. */
    bool isRemoved() const { return m_isRemoved; }
    void setRemoved(bool removed) { m_isRemoved = removed; }

    /**
     * Records a response in which the server states that it is about to stop. This holds until its
     * store entry changes from draining to ready.
     */
    void onLeaveAnnounced() { m_hasAnnouncedLeave = true; }
    bool hasAnnouncedLeave() const { return m_hasAnnouncedLeave; }
    /** Whether the server is about to stop, by its store entry or by a response. */
    bool isLeaving() const { return m_server.isDraining || m_hasAnnouncedLeave; }

    /** Records that the server wants no further request from this daemon for the duration. */
    void onRetryAfter(core::Duration duration, core::Instant now);
    /**
     * When the server takes the next request of this daemon, by its pause and its request limit;
     * not after now if it does at once.
     */
    core::Instant takesRequestsAt(core::Instant now)
    {
        return std::max(m_pausedUntil, m_rateLimit.permitAt(now));
    }

    void onRequestSent(core::Instant now);
    /** Records the end of a request, with or without a response. */
    void onRequestEnded(core::Instant now);
    /** Records a complete response to a request that was sent when the load was loadAtSend. */
    void onResponse(core::Duration latency, double loadAtSend, core::Instant now);
    /** Time of the last complete response to this daemon; 0 if none. */
    core::Instant lastResponseAt() const { return m_lastResponseAt; }
    /** Records a new connection; the time taken to connect approximates the round-trip time. */
    void onConnected(core::Duration latency);
    /**
     * Sets the number of daemons that send to this server. Each of them attributes an equal share
     * of the server's throughput to its own requests.
     */
    void setSenderCount(std::size_t count) { m_senderCount = count; }
    /** Sets the service time to assume until the first response. */
    void setInitialServiceTime(core::Duration serviceTime);
    /**
     * Sets the load to expect from all daemons' requests to the region. It is a lower bound of the
     * load once the last report is older than two service times.
     */
    void setExtrapolatedLoad(double load) { m_extrapolatedLoad = load; }
    /** Applies a load report of the server: running and queued requests, and slots (0: unknown). */
    void onLoadReport(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
                      core::Instant now);
    /** Applies a report of how much longer than usual requests run there now; 1 if as usual. */
    void onSlowdownReport(double slowdown, core::Instant now);
    /** Time since the last load report; empty if there was none. */
    std::optional<core::Duration> reportAge(core::Instant now) const;
    std::uint32_t inFlight() const { return m_inFlight; }
    /**
     * Moving average of the own requests in flight. It covers a longer time the more daemons send
     * to the server, because each then has fewer requests.
     */
    double averageInFlight(core::Instant now) const;
    /** Estimated number of requests running or queued at the server, from all daemons. */
    double load(core::Instant now) const;
    /**
     * Predicted number of requests at the server, for the comparison of servers: the last report,
     * which approaches the extrapolated load with its age, and the own requests sent since.
     */
    double predictedLoad(core::Instant now) const;
    /** Moving average of the time that one request runs, without queueing and round trip. */
    core::Duration serviceTime() const { return m_serviceTime; }
    /** Expected latency of a request sent now, including queueing and the network. */
    core::Duration expectedLatency(core::Instant now) const;

    /** Records a failed attempt that is attributed to the server. */
    void onFailure(core::Instant now);
    /**
     * Records a failed connection attempt. A healthy server rarely causes one, so that the server
     * is avoided at once.
     */
    void onConnectFailed(core::Instant now, ConnectFailure failure);
    void onSuccess();
    /** Another server answered at its address: this one has ended, though its entry may remain. */
    void onReplaced(core::Instant now);
    /** Time of the last response of another server at its address; 0 if none. */
    core::Instant lastReplacedAt() const { return m_lastReplacedAt; }
    /**
     * Whether the server is avoided after recent failures (outlier ejection). Once the avoidance
     * time has passed, one request at a time probes whether the server has recovered.
     */
    bool isAvoided(core::Instant now) const;
    /** Time of the last failed connection attempt; 0 if none. */
    core::Instant lastConnectFailureAt() const { return m_lastConnectFailureAt; }
    /** Time of the last connection attempt that was refused; 0 if none. */
    core::Instant lastRefusalAt() const { return m_lastRefusalAt; }
    std::uint32_t consecutiveFailures() const { return m_consecutiveFailures; }

    /** Whether the server is still warming up (slow start). */
    bool isCold(core::Instant now) const { return now < m_coldUntil; }
    /** Applies the remaining warm-up time that the server reported. */
    void setCold(core::Duration remaining, core::Instant now) { m_coldUntil = now + remaining; }
    /** Token bucket with this daemon's share of the requests that a cold server accepts. */
    core::TokenBucket &coldPermits() { return m_coldPermits; }
    ServerRateLimit &rateLimit() { return m_rateLimit; }
    const ServerRateLimit &rateLimit() const { return m_rateLimit; }

private:
    /** Time constant of the average of the own requests in flight. */
    core::Duration inFlightAveragingTime() const;
    /** The reported slowdown, which fades to 1 with the age of the report. */
    double slowdown(core::Instant now) const;

    BackendServer m_server;
    const std::string m_region;
    const std::uint64_t m_hash;
    bool m_isRemoved = false;
    bool m_hasAnnouncedLeave = false;
    core::Instant m_pausedUntil {0};
    std::uint32_t m_inFlight = 0;
    TimeAverage m_averageInFlight;
    /** Load at m_loadEstimatedAt; decays by this daemon's share of the server's throughput. */
    double m_load = 0;
    core::Instant m_loadEstimatedAt {0};
    core::Instant m_reportedAt {0};
    double m_reportedLoad = 0;
    std::uint32_t m_sentSinceReport = 0;
    double m_extrapolatedLoad = 0;
    /** Moving average of the time that one request runs, without queueing and round trip. */
    core::Duration m_serviceTime;
    core::Instant m_lastResponseAt {0};
    /** Shortest time taken to connect so far; 0 before the first connection. */
    core::Duration m_roundTrip {0};
    double m_slowdown = 1;
    core::Instant m_slowdownAt {0};
    std::size_t m_senderCount = 1;
    std::uint32_t m_consecutiveFailures = 0;
    core::Instant m_avoidUntil {0};
    core::Instant m_lastConnectFailureAt {0};
    core::Instant m_lastRefusalAt {0};
    core::Instant m_lastReplacedAt {0};
    core::Instant m_coldUntil {0};
    core::TokenBucket m_coldPermits;
    ServerRateLimit m_rateLimit;
};

} // namespace sardinehollow::routing
