#pragma once

#include "sardinehollow_entry/exchange/Problem.h"
#include "sardinehollow_entry/handlers/EntryServices.h"
#include "sardinehollow_network/server/RequestHandler.h"

namespace sardinehollow::entry {

/** Refuses a request of unknown work kind, or one whose head cannot be read. */
class RefusalHandler : public network::RequestHandler
{
public:
    RefusalHandler(EntryServices &services, network::ResponseSink &caller, Problem problem);

    void start() override;
    void onRequestError(network::RequestError error) override;

private:
    EntryServices &m_services;
    network::ResponseSink &m_caller;
    Problem m_problem;
};

} // namespace sardinehollow::entry
