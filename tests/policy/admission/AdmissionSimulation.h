#pragma once

#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::tests {

/**
 * Simulation of two daemons of one failure domain and three backend servers. It tracks all requests
 * and attempts itself and checks every decision against them; each failed check adds a line to
 * violations().
 */
class AdmissionSimulation
{
public:
    static constexpr std::size_t daemonCount = 2;

    explicit AdmissionSimulation(policy::PolicySettings settings = {});

    void offer(std::size_t daemon, std::size_t kind, core::Duration remaining);
    /** Ends a running attempt, which position selects. */
    void complete(std::size_t position, policy::AttemptOutcome outcome);
    /** Repeats the report of an ended attempt, even if the request runs elsewhere by now. */
    void repeatCompletion(std::size_t position);
    void cancel(std::size_t position);
    /** Advances the time; daemons that are not paused advance and exchange their summaries. */
    void advanceTime(core::Duration duration);
    void pause(std::size_t daemon);
    void resume(std::size_t daemon);
    void report(std::size_t server, std::uint32_t inFlight, std::uint32_t slots, bool leaving);
    void setDrained(std::size_t server, bool drained);
    /** Lets all deadlines pass and checks that every request received a final decision. */
    void finish();

    const std::vector<std::string> &violations() const { return m_violations; }
    std::uint64_t dispatches() const { return m_dispatches; }
    std::uint64_t dispatches(std::size_t kind) const { return m_dispatchesByKind[kind]; }
    std::uint32_t running(std::size_t server) const;
    policy::SteeringPolicy &policy(std::size_t daemon) { return *m_daemons[daemon].policy; }
    core::Instant now() const { return m_now; }

private:
    struct Request
    {
        std::size_t daemon = 0;
        std::size_t kind = 0;
        core::Instant deadline {0};
        bool forwarded = false;
        core::RequestId origin;
        bool ended = false;
        bool waiting = false;
        bool mayHaveRun = false;
        /** The last attempt was made at a server and failed, so another one is a retry. */
        bool lastAttemptFailed = false;
        std::set<std::string> tried;
    };
    struct Attempt
    {
        core::RequestId id;
        std::uint32_t number = 0;
        /** Index of the server; the number of servers for an attempt through a peer. */
        std::size_t server = 0;
        core::Instant started {0};
        /** The server has finished, but the daemon has not been notified yet. */
        bool finishedOnServer = false;
    };
    struct Daemon
    {
        std::unique_ptr<policy::SteeringPolicy> policy;
        bool paused = false;
        core::Instant pausedAt {0};
        core::Instant advancedAt {0};
        core::Instant holdOffUntil = core::Instant::min();
        std::array<bool, daemonCount> considersAlive {true, true};
        std::map<std::string, core::Instant> ownedSince;
        std::map<std::string, core::Instant> leavingUntil;
    };

    void publishPeers(std::size_t daemon);
    void updateMembership();
    void apply(std::size_t daemon, const std::vector<policy::Decision> &decisions);
    void apply(std::size_t daemon, const policy::Decision &decision);
    void dispatch(std::size_t daemon, const policy::Decision &decision);
    void forward(std::size_t daemon, const policy::Decision &decision);
    void end(const policy::Decision &decision);
    void report(const Attempt &attempt, policy::AttemptOutcome outcome);
    void checkRanks(std::size_t daemon);
    void expect(bool condition, const std::string &text);
    std::size_t serverIndex(const std::string &name) const;
    std::string ownerInViewOf(const Daemon &daemon, const std::string &server) const;

    policy::PolicySettings m_settings;
    config::Configuration m_configuration;
    std::vector<Daemon> m_daemons;
    core::Instant m_now = std::chrono::seconds(100);
    std::uint64_t m_sequence = 0;
    std::map<core::RequestId, Request> m_requests;
    std::vector<Attempt> m_attempts;
    std::vector<Attempt> m_endedAttempts;
    std::array<std::uint64_t, 3> m_offers {};
    std::array<std::uint64_t, 3> m_retries {};
    std::array<std::uint64_t, 3> m_dispatchesByKind {};
    std::uint64_t m_dispatches = 0;
    std::vector<std::string> m_violations;
};

} // namespace sardinehollow::tests
