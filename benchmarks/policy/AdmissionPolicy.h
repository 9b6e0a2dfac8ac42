#pragma once

#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinehollow::bench {

/**
 * Interface of the admission control of one daemon, implemented by the policy module and, for
 * comparison, by baseline policies.
 */
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;

    virtual void applyConfiguration(const std::shared_ptr<const config::Configuration> &) = 0;
    virtual void onPeers(const std::shared_ptr<const policy::PeerView> &peers) = 0;
    virtual policy::Decision offer(const policy::RequestOffer &request) = 0;
    virtual std::vector<policy::Decision> complete(const policy::AttemptReport &report) = 0;
    virtual std::vector<policy::Decision> advance(core::Instant now) = 0;
    virtual void onBackendReport(const policy::BackendReport &report) = 0;
    virtual std::vector<policy::PoolSummary> summaries(core::Instant now) = 0;
    virtual void onSummaries(const std::vector<policy::PoolSummary> &summaries, core::Instant now)
            = 0;
    virtual std::vector<policy::QuarantineEntry> quarantine(core::Instant now) = 0;
    virtual void onQuarantine(const std::vector<policy::QuarantineEntry> &entries,
                              core::Instant now)
            = 0;
};

/** Names of the policies in the order in which they are reported. */
const std::vector<std::string> &policyNames();

/** Creates a policy; the name must be one of policyNames(). */
std::unique_ptr<AdmissionPolicy> makePolicy(const std::string &name, std::uint64_t seed);

} // namespace sardinehollow::bench
