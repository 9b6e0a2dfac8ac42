#include "sardinehollow_entry/handlers/RefusalHandler.h"

namespace sardinehollow::entry {

RefusalHandler::RefusalHandler(Metrics &metrics, network::ResponseSink &caller, Problem problem)
    : m_metrics(metrics)
    , m_caller(caller)
    , m_problem(problem)
{ }

void RefusalHandler::start()
{
    m_metrics.countRefusal(m_problem.reason);
    sendProblem(m_caller, m_problem);
}

void RefusalHandler::onFault(network::RequestFault fault)
{
    m_problem = problemOf(fault);
    start();
}

} // namespace sardinehollow::entry
