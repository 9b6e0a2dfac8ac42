#include "sardinehollow_load/experiment/Target.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace sardinehollow::load {

core::Result<Target> readTarget(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        Target target;
        target.platformAddress = object->getValue<std::string>("platform");
        target.controlAddress = object->getValue<std::string>("control");
        const Poco::JSON::Object::Ptr processes = object->getObject("processes");
        const Poco::JSON::Array::Ptr daemons = object->getArray("daemons");
        for (std::size_t index = 0; index < daemons->size(); ++index) {
            const auto entry = daemons->getObject(static_cast<unsigned>(index));
            TargetDaemon daemon;
            daemon.vm = entry->getValue<std::string>("vm");
            daemon.failureDomain = entry->getValue<std::string>("failureDomain");
            daemon.region = entry->getValue<std::string>("region");
            daemon.callerAddress = entry->getValue<std::string>("callerAddress");
            daemon.operatorAddress = entry->getValue<std::string>("operatorAddress");
            if (!processes.isNull())
                daemon.processId = processes->optValue<int>(daemon.vm, 0);
            target.daemons.push_back(std::move(daemon));
        }
        return target;
    } catch (const Poco::Exception &exception) {
        return core::failure(core::ErrorKind::InvalidInput,
                             "the address file is not valid: " + exception.displayText(),
                             "create it with 'scripts/demo --keep FILE'");
    }
}

} // namespace sardinehollow::load
