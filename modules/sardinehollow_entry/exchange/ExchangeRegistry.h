#pragma once

#include "sardinehollow_network/loop/EventLoop.h"
#include "sardinehollow_policy/facade/Decision.h"

#include <map>
#include <memory>
#include <vector>

namespace sardinehollow::entry {

class WorkExchange;

/** Owns the requests in flight and delivers policy decisions to them. Loop thread only. */
class ExchangeRegistry
{
public:
    explicit ExchangeRegistry(network::EventLoop &loop);
    ~ExchangeRegistry();

    void add(const core::RequestId &id, std::shared_ptr<WorkExchange> exchange);
    void remove(const core::RequestId &id);
    /**
     * Delivers the decisions at the end of the loop's iteration; decisions for requests that are no
     * longer in flight are ignored.
     */
    void deliver(const std::vector<policy::Decision> &decisions);

private:
    network::EventLoop &m_loop;
    std::map<core::RequestId, std::shared_ptr<WorkExchange>> m_exchanges;
};

} // namespace sardinehollow::entry
