#include "sardinehollow_entry/handlers/RefusalHandler.h"

#include "sardinehollow_entry/handlers/Refusal.h"

namespace sardinehollow::entry {

RefusalHandler::RefusalHandler(EntryServices &services, network::ResponseSink &caller,
                               Problem problem)
    : m_services(services)
    , m_caller(caller)
    , m_problem(std::move(problem))
{ }

void RefusalHandler::start()
{
    refuse(m_services, m_caller, m_problem);
}

void RefusalHandler::onRequestError(network::RequestError error)
{
    const std::string requestId = m_problem.requestId;
    m_problem = problemOf(error);
    m_problem.requestId = requestId;
    start();
}

} // namespace sardinehollow::entry
