#include "sardinehollow_standin/control/ControlHandler.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

#include <sstream>

namespace sardinehollow::standin {

namespace {

std::string toText(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

} // namespace

ControlHandler::ControlHandler(PlatformState &platform, FaultSwitches &faults,
                               RunCounter &runCounter, std::deque<SimulatedBackend> &backendServers)
    : m_platform(platform)
    , m_faultSwitches(faults)
    , m_runCounter(runCounter)
    , m_backendServers(backendServers)
{ }

void ControlHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                   Poco::Net::HTTPServerResponse &response)
{
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    std::string body = "{}";
    response.setContentType("application/json");
    if (request.getURI() == "/runs") {
        body = runsJson();
    } else if (request.getURI() == "/calls") {
        body = toText(*m_platform.calls.toJson());
    } else if (request.getURI() == "/backend-servers") {
        body = backendServersJson();
    } else if (request.getURI() == "/faults") {
        const config::FaultList documentFaults = m_faultSwitches.apply(text);
        if (!documentFaults.empty()) {
            response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
            response.setContentType("text/plain");
            body = config::toText(documentFaults);
        }
    } else {
        response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
    }
    response.sendBuffer(body.data(), body.size());
}

std::string ControlHandler::runsJson() const
{
    Poco::JSON::Object object;
    for (const auto &[key, count] : m_runCounter.runs())
        object.set(key, count);
    return toText(object);
}

std::string ControlHandler::backendServersJson() const
{
    Poco::JSON::Object object;
    for (const SimulatedBackend &backend : m_backendServers) {
        Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
        item->set("address", backend.listener->address());
        item->set("inFlight", backend.inFlight.load());
        item->set("highestInFlight", backend.highestInFlight.load());
        item->set("slots", backend.settings.slots);
        item->set("leaving", backend.leaving.load());
        item->set("requests", backend.requests.load());
        item->set("shed", backend.shedRequests.load());
        item->set("shedOverSlots", backend.shedOverSlots.load());
        item->set("cancelledRuns", backend.cancelledRuns.load());
        item->set("deadlinesPassed", backend.deadlinesPassed.load());
        item->set("crashes", backend.crashes.load());
        item->set("requestsAfterLeaving", backend.requestsAfterLeaving.load());
        object.set(backend.settings.name, item);
    }
    return toText(object);
}

} // namespace sardinehollow::standin
