#include "sardinehollow_config/parts/ConfigurationDelta.h"

#include "sardinehollow_core/hash/Sha256.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>
#include <unordered_map>

namespace sardinehollow::config {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr toObject(const ConfigurationDelta::Run &run)
{
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("first", run.first);
    if (run.count > 0) {
        object->set("count", run.count);
        return object;
    }
    object->set("digest", run.digest);
    Array::Ptr edits = new Array;
    for (const TextEdit &edit : run.edits) {
        Array::Ptr item = new Array;
        item->add(edit.offset);
        item->add(edit.length);
        item->add(edit.inserted);
        edits->add(item);
    }
    object->set("edits", edits);
    return object;
}

ConfigurationDelta::Run toRun(const Object &object)
{
    ConfigurationDelta::Run run;
    run.first = object.getValue<std::size_t>("first");
    run.count = object.optValue<std::size_t>("count", 0);
    if (run.count > 0)
        return run;
    run.digest = object.getValue<std::string>("digest");
    const Array::Ptr edits = object.getArray("edits");
    for (std::size_t index = 0; !edits.isNull() && index < edits->size(); ++index) {
        const Array::Ptr item = edits->getArray(static_cast<unsigned>(index));
        if (item.isNull())
            throw Poco::DataFormatException("an edit is not an array");
        run.edits.push_back({item->getElement<std::size_t>(0), item->getElement<std::size_t>(1),
                             item->getElement<std::string>(2)});
    }
    return run;
}

tl::unexpected<core::Error> invalidDelta(const std::string &reason)
{
    return core::failure(core::ErrorKind::InvalidInput, "the delta cannot be applied: " + reason,
                         "load the whole configuration");
}

} // namespace

ConfigurationDelta ConfigurationDelta::between(std::uint64_t baseGeneration,
                                               const std::vector<std::string> &baseDigests,
                                               const std::vector<ConfigurationPart> &parts,
                                               const PartLookup &baseText)
{
    std::unordered_map<std::string, std::size_t> positions;
    for (std::size_t index = 0; index < baseDigests.size(); ++index)
        positions.emplace(baseDigests[index], index);
    ConfigurationDelta delta;
    delta.baseGeneration = baseGeneration;
    // A new part is encoded as edits of the base part that it probably replaces: the one at its
    // position in the base.
    std::size_t next = 0;
    for (const ConfigurationPart &part : parts) {
        const auto found = positions.find(part.digest);
        if (found != positions.end()) {
            const bool extends = !delta.runs.empty() && delta.runs.back().count > 0
                    && delta.runs.back().first + delta.runs.back().count == found->second;
            if (extends)
                ++delta.runs.back().count;
            else
                delta.runs.push_back({found->second, 1, {}, {}});
            next = found->second + 1;
            continue;
        }
        const std::size_t basePosition
                = std::min(next, baseDigests.empty() ? 0 : baseDigests.size() - 1);
        const std::string *old
                = baseDigests.empty() ? nullptr : baseText(baseDigests[basePosition]);
        Run run {basePosition, 0, part.digest, {}};
        run.edits = editsBetween(old != nullptr ? *old : std::string(), part.text);
        delta.runs.push_back(std::move(run));
        const bool nextAlsoReplaced = next + 1 < baseDigests.size()
                && std::none_of(parts.begin(), parts.end(), [&](const ConfigurationPart &other) {
                                          return other.digest == baseDigests[next + 1];
                                      });
        if (nextAlsoReplaced)
            ++next;
    }
    return delta;
}

core::Result<std::vector<ConfigurationPart>>
ConfigurationDelta::apply(const std::vector<std::string> &baseDigests,
                          const PartLookup &baseText) const
{
    std::vector<ConfigurationPart> parts;
    for (const Run &run : runs) {
        if (run.count > 0) {
            const bool inside
                    = run.first < baseDigests.size() && run.count <= baseDigests.size() - run.first;
            if (!inside)
                return invalidDelta("a kept part is not in the base");
            for (std::size_t index = 0; index < run.count; ++index)
                parts.push_back({baseDigests[run.first + index], {}});
            continue;
        }
        const std::string *old
                = run.first < baseDigests.size() ? baseText(baseDigests[run.first]) : nullptr;
        std::string text = applyEdits(old != nullptr ? *old : std::string(), run.edits);
        if (core::sha256Hex(text) != run.digest)
            return invalidDelta("the digest of a changed part does not match");
        parts.push_back({run.digest, std::move(text)});
    }
    return parts;
}

std::string ConfigurationDelta::toJson() const
{
    Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("base", baseGeneration);
    Array::Ptr list = new Array;
    for (const Run &run : runs)
        list->add(toObject(run));
    object.set("runs", list);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

core::Result<ConfigurationDelta> ConfigurationDelta::fromJson(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(text).extract<Object::Ptr>();
        ConfigurationDelta delta;
        delta.baseGeneration = object->getValue<std::uint64_t>("base");
        const Array::Ptr list = object->getArray("runs");
        for (std::size_t index = 0; !list.isNull() && index < list->size(); ++index) {
            const Object::Ptr run = list->getObject(static_cast<unsigned>(index));
            if (run.isNull())
                return invalidDelta("a run is not an object");
            delta.runs.push_back(toRun(*run));
        }
        return delta;
    } catch (const Poco::Exception &exception) {
        return invalidDelta(exception.displayText());
    }
}

ConfigurationPart makeManifest(const std::vector<std::string> &digests)
{
    ConfigurationPart manifest;
    for (const std::string &digest : digests)
        manifest.text += digest + "\n";
    manifest.digest = core::sha256Hex(manifest.text);
    return manifest;
}

std::vector<std::string> readManifest(const std::string &text)
{
    std::vector<std::string> digests;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line))
        digests.push_back(line);
    return digests;
}

} // namespace sardinehollow::config
