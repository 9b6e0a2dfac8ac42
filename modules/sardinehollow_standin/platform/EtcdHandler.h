#pragma once

#include "sardinehollow_standin/platform/CallGate.h"
#include "sardinehollow_standin/platform/PlatformState.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>

namespace sardinehollow::standin {

/** Serves the etcd v3 JSON mapping and the VM list from the platform's state. */
class EtcdHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit EtcdHandler(PlatformState &state);

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    Poco::JSON::Object::Ptr answer(const std::string &path, const Poco::JSON::Object &body);
    Poco::JSON::Object::Ptr range(const Poco::JSON::Object &body);
    Poco::JSON::Object::Ptr transact(const Poco::JSON::Object &body);
    void watch(const Poco::JSON::Object &body, Poco::Net::HTTPServerRequest &request,
               Poco::Net::HTTPServerResponse &response);
    void serve(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
               const std::string &text);
    void checkSize(const std::string &value) const;

    PlatformState &m_state;
    CallGate m_gate;
};

} // namespace sardinehollow::standin
