#include "sardinehollow_entry/exchange/ExchangeRegistry.h"

#include "sardinehollow_entry/handlers/WorkExchange.h"

namespace sardinehollow::entry {

ExchangeRegistry::ExchangeRegistry(network::EventLoop &loop)
    : m_loop(loop)
{ }

ExchangeRegistry::~ExchangeRegistry() = default;

void ExchangeRegistry::add(const core::RequestId &id, std::shared_ptr<WorkExchange> exchange)
{
    m_exchanges.emplace(id, std::move(exchange));
}

void ExchangeRegistry::remove(const core::RequestId &id)
{
    m_exchanges.erase(id);
}

void ExchangeRegistry::deliver(const std::vector<policy::Decision> &decisions)
{
    for (const policy::Decision &decision : decisions) {
        // Deferred, because another request may be on the call stack.
        m_loop.defer([this, decision] {
            const auto found = m_exchanges.find(decision.id);
            if (found == m_exchanges.end())
                return;
            const std::shared_ptr<WorkExchange> exchange = found->second;
            exchange->onDecision(decision);
        });
    }
}

} // namespace sardinehollow::entry
