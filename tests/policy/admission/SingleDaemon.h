#pragma once

#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include <string>
#include <vector>

namespace sardinehollow::tests {

/** One daemon with one pool of backend servers; the test controls the time and the requests. */
class SingleDaemon
{
public:
    /** Creates one server for each number of slots. */
    explicit SingleDaemon(std::vector<std::uint32_t> slots,
                          policy::PolicySettings settings = immediateAdmissionSettings());

    /** Returns settings without hold-off, early refusal and headroom for urgent ranks. */
    static policy::PolicySettings immediateAdmissionSettings();

    /** Offers a request of the rank "0", "1" or "2" and returns the decision. */
    policy::Decision offer(std::size_t rank, core::Duration remaining = std::chrono::seconds(100),
                           std::uint64_t caller = 0, std::uint64_t fingerprint = 0);
    std::vector<policy::Decision> complete(const core::RequestId &id,
                                           policy::AttemptOutcome outcome
                                           = policy::AttemptOutcome::Completed,
                                           core::Duration latency = std::chrono::milliseconds(10));
    /** Advances the time in steps of 10 ms and returns the decisions. */
    std::vector<policy::Decision> advanceTime(core::Duration duration);
    void report(const std::string &server, std::uint32_t inFlight, std::uint32_t slots,
                bool leaving = false);
    void addServer(std::uint32_t slots);
    /** Offers requests of the rank until one is not dispatched; returns the dispatched number. */
    std::uint32_t fill(std::size_t rank);
    policy::PoolStatus status() const;
    std::uint32_t limit(const std::string &server) const;

    policy::SteeringPolicy policy;
    config::Configuration configuration;
    core::Instant now = std::chrono::seconds(10);

private:
    void apply();

    std::uint64_t m_sequence = 0;
};

} // namespace sardinehollow::tests
