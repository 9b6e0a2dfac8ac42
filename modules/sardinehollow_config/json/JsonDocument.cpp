#include "sardinehollow_config/json/JsonDocument.h"

#include <Poco/JSON/Parser.h>

namespace sardinehollow::config {

Poco::JSON::Object::Ptr parseJsonObject(const std::string &text, FaultList &faults)
{
    constexpr std::size_t maximumDepth = 32;
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(maximumDepth);
        const Poco::Dynamic::Var value = parser.parse(text);
        if (value.type() == typeid(Poco::JSON::Object::Ptr))
            return value.extract<Poco::JSON::Object::Ptr>();
        faults.push_back({"", "is not a JSON object", "start the document with '{'"});
    } catch (const Poco::Exception &exception) {
        faults.push_back({"", "is not valid JSON: " + exception.displayText(),
                          "correct the syntax, for example with a JSON formatter"});
    }
    return {};
}

} // namespace sardinehollow::config
