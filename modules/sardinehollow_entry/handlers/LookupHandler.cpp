#include "sardinehollow_entry/handlers/LookupHandler.h"

#include "sardinehollow_entry/exchange/RequestIdHeader.h"
#include "sardinehollow_entry/handlers/Refusal.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <sstream>

namespace sardinehollow::entry {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string toJson(const policy::LookupAnswer &answer)
{
    Array::Ptr entries = new Array;
    for (const policy::EntryOption &option : answer.entries) {
        Object::Ptr entry = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
        entry->set("address", option.address);
        entry->set("failureDomain", option.failureDomain);
        entry->set("region", option.region);
        entry->set("weight", option.weight);
        entries->add(entry);
    }
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("generation", answer.generation);
    object.set("ttlMs", answer.lifetime.count());
    object.set("claimScope", answer.claimScope);
    object.set("entries", entries);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace

LookupHandler::LookupHandler(EntryServices &services, network::ResponseSink &caller,
                             const Poco::Net::HTTPRequest &request)
    : m_services(services)
    , m_caller(caller)
    , m_request(request)
{ }

void LookupHandler::start()
{
    m_services.metrics.countLookup();
    std::string kind;
    std::string caller = m_caller.peerHost();
    try {
        for (const auto &[name, value] : Poco::URI(m_request.getURI()).getQueryParameters()) {
            if (name == "kind")
                kind = value;
            if (name == "caller")
                caller = value;
        }
    } catch (const Poco::Exception &) {
        caller.clear(); // Refused below as malformed.
    }
    const core::Result<core::IpAddress> address = core::IpAddress::parse(caller);
    const std::shared_ptr<const config::Configuration> configuration
            = m_services.policy.configuration();
    const bool known = configuration && configuration->workKind(kind) != nullptr;
    if (!address || !known) {
        Problem problem;
        problem.status = Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
        problem.reason = policy::RefusalReason::MalformedRequest;
        if (address)
            problem.reason = policy::RefusalReason::UnknownWorkKind;
        if (!configuration) {
            problem.status = Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
            problem.reason = policy::RefusalReason::NoConfiguration;
        }
        problem.requestId = requestIdOf(m_request, m_services);
        problem.generation = configuration ? configuration->generation : 0;
        refuse(m_services, m_caller, problem);
        return;
    }
    const policy::LookupAnswer answer = m_services.policy.lookUp(kind, *address);
    Poco::Net::HTTPResponse response;
    response.setContentType("application/json");
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(answer.lifetime);
    response.set("Cache-Control", "private, max-age=" + std::to_string(seconds.count()));
    m_caller.sendResponse(response, toJson(answer));
}

void LookupHandler::onRequestError(network::RequestError error)
{
    Problem problem = problemOf(error);
    problem.requestId = requestIdOf(m_request, m_services);
    refuse(m_services, m_caller, problem);
}

} // namespace sardinehollow::entry
