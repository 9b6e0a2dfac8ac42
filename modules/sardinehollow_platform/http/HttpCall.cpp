#include "sardinehollow_platform/http/HttpCall.h"

#include "sardinehollow_platform/http/JsonClient.h"

namespace sardinehollow::platform {

core::Result<Poco::JSON::Object::Ptr> postJson(const std::string &address, const std::string &path,
                                               const Poco::JSON::Object &body,
                                               std::chrono::milliseconds timeout)
{
    return JsonClient(address, timeout).post(path, body);
}

core::Result<Poco::JSON::Object::Ptr> getJson(const std::string &address, const std::string &path,
                                              std::chrono::milliseconds timeout)
{
    return JsonClient(address, timeout).get(path);
}

} // namespace sardinehollow::platform
