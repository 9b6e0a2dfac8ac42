#include "sardinehollow_configuration_store/head/ConfigurationHead.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace sardinehollow::configuration_store {

std::string ConfigurationHead::toJson() const
{
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("generation", generation);
    object.set("digest", digest);
    object.set("submissionId", submissionId);
    object.set("author", author);
    object.set("message", message);
    object.set("manifest", manifest);
    object.set("delta", delta);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

core::Result<ConfigurationHead> ConfigurationHead::fromJson(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        ConfigurationHead head;
        head.generation = object->getValue<std::uint64_t>("generation");
        head.digest = object->getValue<std::string>("digest");
        head.submissionId = object->getValue<std::string>("submissionId");
        head.author = object->optValue<std::string>("author", "");
        head.message = object->optValue<std::string>("message", "");
        head.manifest = object->getValue<std::string>("manifest");
        head.delta = object->optValue<std::string>("delta", "");
        return head;
    } catch (const Poco::Exception &exception) {
        return core::failure(core::ErrorKind::InvalidInput,
                             "the stored head is not valid: " + exception.displayText(),
                             "submit the configuration again");
    }
}

} // namespace sardinehollow::configuration_store
