#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_daemon/steering/ShiftAdmission.h"
#include "sardinehollow_daemon/steering/ShiftSteps.h"
#include "sardinehollow_entry/shifts/ShiftGate.h"
#include "sardinehollow_peer/messages/OutgoingMessage.h"
#include "sardinehollow_peer/transport/MessageListener.h"
#include "sardinehollow_peer/transport/PeerTransport.h"
#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include <Poco/JSON/Object.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sardinehollow::daemon {

/**
 * Runs the shifts of the configuration: raises the fractions of shifted look-ups step by step and
 * applies the caps to shifted requests that arrive in this failure domain. Safe for concurrent use.
 */
class ShiftService : public entry::ShiftGate, public peer::MessageListener
{
public:
    struct Identity
    {
        std::string vm;
        std::string failureDomain;
        std::uint64_t incarnation = 0;
    };

    ShiftService(Identity identity, policy::SteeringPolicy &policy, peer::PeerTransport &transport,
                 const core::MonotonicClock &clock, ShiftSteps::GenerationSource lowestGeneration);

    /** Applies changes and sends due permit requests. Call it about every 10 ms from one thread. */
    void advance();

    bool isActive() const override { return m_active; }
    bool admit(const std::string &workKind, const core::IpAddress &caller) override;
    /** Handles permit requests and grants; ignores all other messages. */
    void onMessage(const peer::wire::Envelope &envelope) override;

    /** Adds the shifts, their fractions, cap enforcers and caps to a status object. */
    void addStatus(Poco::JSON::Object &object) const;
    std::string metricsText() const;

private:
    void applyChanges(core::Instant now);
    void configure(const config::Configuration &configuration, core::Instant now);
    void advanceSteps(core::Instant now);
    peer::OutgoingMessages dueRequests(core::Instant now);
    std::uint64_t nextIncarnation() { return m_nextIncarnation++; }

    const Identity m_identity;
    policy::SteeringPolicy &m_policy;
    peer::PeerTransport &m_transport;
    const core::MonotonicClock &m_clock;
    const ShiftSteps::GenerationSource m_lowestGeneration;
    /** Used by advance() only. */
    ShiftSteps m_steps;
    core::Instant m_nextStepsUpdate {0};
    std::atomic<bool> m_active {false};
    mutable std::mutex m_mutex;
    /** Identifies the next permit holder or cap enforcer that this process creates. */
    std::uint64_t m_nextIncarnation;
    std::shared_ptr<const config::Configuration> m_configuration;
    std::shared_ptr<const policy::PeerView> m_peers;
    policy::ShiftFractions m_fractions;
    /** Shifts to this failure domain by name. */
    std::map<std::string, ShiftAdmission> m_admissions;
};

} // namespace sardinehollow::daemon
