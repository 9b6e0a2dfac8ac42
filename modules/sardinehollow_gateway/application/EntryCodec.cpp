#include "sardinehollow_gateway/application/EntryCodec.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace sardinehollow::gateway {

std::string encodeEntry(const routing::EntryDaemon &daemon)
{
    Poco::JSON::Object object;
    object.set("vm", daemon.name);
    object.set("address", daemon.address);
    object.set("failureDomain", daemon.failureDomain);
    object.set("region", daemon.region);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

core::Result<routing::EntryDaemon> decodeEntry(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        routing::EntryDaemon daemon;
        daemon.name = object->getValue<std::string>("vm");
        daemon.address = object->getValue<std::string>("address");
        daemon.failureDomain = object->getValue<std::string>("failureDomain");
        daemon.region = object->getValue<std::string>("region");
        return daemon;
    } catch (const Poco::Exception &exception) {
        return core::failure(core::ErrorKind::InvalidInput,
                             "the entry of a daemon cannot be read: " + exception.displayText(),
                             "check that all daemons run the same version");
    }
}

} // namespace sardinehollow::gateway
