#pragma once

#include "sardinehollow_standin/platform/CallGate.h"
#include "sardinehollow_standin/platform/PlatformState.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>

#include <map>
#include <string>

namespace sardinehollow::standin {

/** Serves the key-value interface of the users' own platform from the platform's state. */
class KvHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit KvHandler(PlatformState &platform);

    /** Whether the request target is a path of this interface. */
    static bool serves(const std::string &target);

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override;

private:
    struct Answer
    {
        int status = 200;
        Poco::JSON::Object::Ptr body;
    };
    using Query = std::map<std::string, std::string>;

    Answer dispatch(const std::string &path, const Query &query, const std::string &text);
    Answer readKey(const std::string &key);
    Answer readPrefix(const Query &query);
    Answer watch(const Query &query);
    Answer transact(const Poco::JSON::Object &body);
    Answer keepAliveLease(std::int64_t id);

    PlatformState &m_platform;
    CallGate m_gate;
};

} // namespace sardinehollow::standin
