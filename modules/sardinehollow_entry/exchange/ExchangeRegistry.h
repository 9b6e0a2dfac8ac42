#pragma once

#include "sardinehollow_network/loop/EventLoop.h"
#include "sardinehollow_policy/facade/Decision.h"

#include <map>
#include <memory>
#include <vector>

namespace sardinehollow::entry {

class WorkExchange;

/** The requests in flight; keeps them alive and hands them decisions. For the loop's thread. */
class ExchangeRegistry
{
public:
    explicit ExchangeRegistry(network::EventLoop &loop);
    ~ExchangeRegistry();

    void add(const core::RequestId &id, std::shared_ptr<WorkExchange> exchange);
    void remove(const core::RequestId &id);
    /** Hands over each decision whose request is in flight at the end of the loop's turn. */
    void deliver(const std::vector<policy::Decision> &decisions);

private:
    network::EventLoop &m_loop;
    std::map<core::RequestId, std::shared_ptr<WorkExchange>> m_exchanges;
};

} // namespace sardinehollow::entry
