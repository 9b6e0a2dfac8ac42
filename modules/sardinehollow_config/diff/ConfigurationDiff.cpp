#include "sardinehollow_config/diff/ConfigurationDiff.h"

#include "sardinehollow_config/canonical/CanonicalJson.h"
#include "sardinehollow_config/json/JsonDocument.h"

#include <Poco/JSON/Array.h>

#include <map>

namespace sardinehollow::config {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Values = std::map<std::string, std::string>;

// Elements are identified by name instead of position, so that an insertion is a single change.
std::string elementName(const Poco::Dynamic::Var &element, std::size_t index)
{
    if (element.isString())
        return element.extract<std::string>();
    if (element.type() != typeid(Object::Ptr))
        return std::to_string(index);
    const auto object = element.extract<Object::Ptr>();
    if (object->has("target"))
        return object->getValue<std::string>("target") + ":"
                + object->getValue<std::string>("name");
    for (const char *field : {"name", "prefix", "failureDomain"}) {
        if (object->has(field))
            return object->getValue<std::string>(field);
    }
    if (object->has("firstRegion"))
        return object->getValue<std::string>("firstRegion") + "-"
                + object->getValue<std::string>("secondRegion");
    return std::to_string(index);
}

void flatten(const std::string &path, const Poco::Dynamic::Var &value, Values &values);

void flattenArray(const std::string &path, const Array &array, Values &values)
{
    std::string order;
    for (std::size_t index = 0; index < array.size(); ++index) {
        const Poco::Dynamic::Var element = array.get(static_cast<unsigned>(index));
        const std::string name = elementName(element, index);
        order += (order.empty() ? "" : ", ") + name;
        if (!element.isString())
            flatten(path + "/" + name, element, values);
    }
    // The order of ranks is the order of service. Lists of names are compared as a whole.
    const bool ordered = path == "/ranks" || (array.size() > 0 && array.get(0).isString());
    if (ordered)
        values[path] = order;
}

void flatten(const std::string &path, const Poco::Dynamic::Var &value, Values &values)
{
    if (value.type() == typeid(Object::Ptr)) {
        const auto object = value.extract<Object::Ptr>();
        for (const std::string &name : object->getNames())
            flatten(path + "/" + name, object->get(name), values);
        return;
    }
    if (value.type() == typeid(Array::Ptr)) {
        flattenArray(path, *value.extract<Array::Ptr>(), values);
        return;
    }
    values[path] = value.convert<std::string>();
}

Values flattened(const Configuration &configuration)
{
    FaultList faults;
    Values values;
    const Object::Ptr object = parseJsonObject(toCanonicalJson(configuration), faults);
    flatten("", Poco::Dynamic::Var(object), values);
    return values;
}

} // namespace

std::vector<Change> compareConfigurations(const Configuration &before, const Configuration &after)
{
    const Values old = flattened(before);
    const Values current = flattened(after);
    std::map<std::string, Change> changes;
    for (const auto &[path, value] : old) {
        const auto found = current.find(path);
        if (found == current.end())
            changes[path] = {path, value, std::nullopt};
        else if (found->second != value)
            changes[path] = {path, value, found->second};
    }
    for (const auto &[path, value] : current) {
        if (old.count(path) == 0)
            changes[path] = {path, std::nullopt, value};
    }
    std::vector<Change> result;
    result.reserve(changes.size());
    for (auto &[path, change] : changes)
        result.push_back(std::move(change));
    return result;
}

} // namespace sardinehollow::config
