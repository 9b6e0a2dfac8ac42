#pragma once

#include "sardinehollow_core/time/ManualClock.h"
#include "sardinehollow_daemon/steering/ShiftService.h"

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::tests {

/** Simulates daemons of a shift's two destinations in virtual time, and a lossy network. */
class ShiftSimulation
{
public:
    ShiftSimulation(std::uint32_t seed, unsigned lossPercent);

    /** Advances time in steps of 5 ms; each daemon receives shifted requests at each step. */
    void run(std::chrono::milliseconds duration);
    void configure(std::uint64_t generation, std::uint32_t capA, std::uint32_t capB);
    /** Stops a daemon; the others notice later. */
    void kill(std::size_t node);
    /** Pauses or resumes a daemon; messages to a paused daemon are delivered when it resumes. */
    void pause(std::size_t node, bool paused);
    /** Removes a daemon from another daemon's view, as if it were dead. */
    void hide(std::size_t node, std::size_t other);
    void clearHidden();
    /** Returns the daemon that enforces the cap in west-a according to the given daemon. */
    std::size_t enforcer(std::size_t node) const;

    /** Returns the most admissions of a failure domain in any one-second window of a period. */
    std::size_t maxAdmittedPerSecond(const std::string &failureDomain, core::Instant from,
                                     core::Instant until) const;

    core::ManualClock clock;
    std::size_t offersPerStep = 1;

private:
    struct Admission
    {
        core::Instant time;
        std::string failureDomain;
    };

    struct Message
    {
        core::Instant arrival;
        std::string to;
        peer::wire::Envelope envelope;
    };

    class Transport : public peer::PeerTransport
    {
    public:
        Transport(ShiftSimulation &simulation, std::string vm)
            : m_simulation(simulation)
            , m_vm(std::move(vm))
        { }
        void send(const std::string &vm, peer::wire::Envelope envelope) override;

    private:
        ShiftSimulation &m_simulation;
        const std::string m_vm;
    };

    struct Node
    {
        std::string vm;
        std::string failureDomain;
        bool alive = true;
        bool paused = false;
        std::set<std::string> hidden;
        std::unique_ptr<policy::SteeringPolicy> policy;
        std::unique_ptr<Transport> transport;
        std::unique_ptr<daemon::ShiftService> service;
    };

    void publish(Node &node);
    void deliver();
    void offerRequests(Node &node);

    std::mt19937 m_random;
    const unsigned m_lossPercent;
    std::vector<Node> m_nodes;
    std::vector<Message> m_messages;
    std::vector<Admission> m_admissions;
};

} // namespace sardinehollow::tests
