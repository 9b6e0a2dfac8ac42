#pragma once

#include "BaselinePolicy.h"

#include <deque>

namespace sardinehollow::bench {

/**
 * Baseline that restricts each work kind to the servers that are dedicated to it. The slots of a
 * server are split evenly between the daemons of its failure domain. Each kind has a bounded FIFO
 * queue.
 */
class StaticSplitPolicy : public BaselinePolicy
{
public:
    policy::Decision offer(const policy::RequestOffer &request) override;
    std::vector<policy::Decision> complete(const policy::AttemptReport &report) override;
    std::vector<policy::Decision> advance(core::Instant now) override;

protected:
    const config::BackendServer *choose(const policy::RequestOffer &request) override;

private:
    /** Returns the number of slots of the server that belong to this daemon. */
    std::uint32_t localSlots(const config::BackendServer &server) const;
    std::size_t kindOf(const std::string &workKind) const;

    std::map<std::string, std::uint32_t> m_inFlight;
    std::map<core::RequestId, std::string> m_servers;
    std::vector<std::deque<policy::RequestOffer>> m_queues;
};

} // namespace sardinehollow::bench
