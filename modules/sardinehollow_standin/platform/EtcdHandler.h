#pragma once

#include "sardinehollow_standin/platform/CallGate.h"
#include "sardinehollow_standin/platform/PlatformState.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>

namespace sardinehollow::standin {

/** Serves the etcd v3 JSON gateway and the VM list from the platform's state. */
class EtcdHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit EtcdHandler(PlatformState &platform);

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    Poco::JSON::Object::Ptr handleCall(const std::string &path, const Poco::JSON::Object &body);
    Poco::JSON::Object::Ptr range(const Poco::JSON::Object &body);
    Poco::JSON::Object::Ptr transact(const Poco::JSON::Object &body);
    void watch(const Poco::JSON::Object &body, Poco::Net::HTTPServerRequest &request,
               Poco::Net::HTTPServerResponse &response);
    void dispatch(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                  const std::string &text);
    void checkSize(const std::string &value) const;

    PlatformState &m_platform;
    CallGate m_gate;
};

} // namespace sardinehollow::standin
