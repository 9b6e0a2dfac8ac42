#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_core/time/TokenBucket.h"
#include "sardinehollow_routing/backends/BackendServer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinehollow::routing {

/** What this daemon knows of one start of a backend server. Not safe for concurrent use. */
class BackendState
{
public:
    BackendState(BackendServer server, std::string region);

    const BackendServer &server() const { return m_server; }
    const std::string &region() const { return m_region; }
    /** Hash of the server's address and start, for rendezvous hashing. */
    std::uint64_t hash() const { return m_hash; }

    /** Takes over a later report of the same start. */
    void update(const BackendServer &server, core::Instant now);
    /** Whether the server has left; nothing new is sent to it. */
    bool isGone() const { return m_isGone; }
    void setGone(bool gone) { m_isGone = gone; }

    void onSent(core::Instant now);
    /** The request ended, with or without a response. */
    void onEnded();
    /** A whole response came for a request that was sent at the given load. */
    void onResponse(core::Duration latency, double loadAtSend);
    /** A connection was made; the time that it took is about one way there and back. */
    void onConnected(core::Duration latency);
    /** Daemons that send to this server; each counts on its part of what the server gets done. */
    void setSenders(std::size_t count) { m_senders = count; }
    /** What to expect of a run until the first response. */
    void setExpectedRunTime(core::Duration runTime);
    /**
     * Load of such servers as this daemon's own requests suggest, if all daemons send as many. It
     * counts while the server has not reported for longer than a run takes.
     */
    void setPeerLoad(double load) { m_peerLoad = load; }
    /** The server said how many requests it runs and how many wait. */
    void onLoadReport(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
                      core::Instant now);
    /** Time since the last report; nothing if there was none. */
    std::optional<core::Duration> reportAge(core::Instant now) const;
    std::uint32_t inFlight() const { return m_inFlight; }
    /** Estimated requests that run or wait at the server, from all daemons. */
    double load(core::Instant now) const;
    /** Time that a request sent now is expected to take, waiting and network included. */
    core::Duration expectedLatency(core::Instant now) const;

    /** An attempt failed in a way that speaks against the server itself. */
    void onFailure(core::Instant now);
    /** No connection could be made, which a sound server hardly ever causes. */
    void onUnreachable(core::Instant now);
    void onSuccess();
    /** Another server answered at its address: this one is gone, though its entry may still stand.
     */
    void onReplaced(core::Instant now);
    /**
     * Whether the server failed lately, so that others are tried first. When its time is over one
     * request at a time finds out whether it is well again.
     */
    bool isAvoided(core::Instant now) const;
    /** When a connection was last found impossible; 0 if never. */
    core::Instant unreachableAt() const { return m_unreachableAt; }
    std::uint32_t consecutiveFailures() const { return m_consecutiveFailures; }

    bool isCold(core::Instant now) const { return now < m_coldUntil; }
    /** The server said that it stays cold for a while. */
    void setCold(core::Duration left, core::Instant now) { m_coldUntil = now + left; }
    /** This daemon's share of the requests that a cold server bears. */
    core::TokenBucket &coldPermits() { return m_coldPermits; }

private:
    BackendServer m_server;
    const std::string m_region;
    const std::uint64_t m_hash;
    bool m_isGone = false;
    std::uint32_t m_inFlight = 0;
    /** Load at the time below; it falls by what the server gets done of this daemon's part. */
    double m_load = 0;
    core::Instant m_loadAt {0};
    core::Instant m_reportedAt {0};
    double m_peerLoad = 0;
    /** Average run of one request without waiting, network included. */
    core::Duration m_runTime;
    bool m_hasResponded = false;
    core::Duration m_roundTrip {0};
    std::size_t m_senders = 1;
    std::uint32_t m_consecutiveFailures = 0;
    core::Instant m_avoidUntil {0};
    core::Instant m_unreachableAt {0};
    core::Instant m_coldUntil {0};
    core::TokenBucket m_coldPermits;
};

} // namespace sardinehollow::routing
