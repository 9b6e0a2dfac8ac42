#include "sardinehollow_config/parts/ConfigurationDelta.h"

#include "sardinehollow_config/json/ConfigurationReader.h"
#include "sardinehollow_config/parts/PartCodec.h"
#include "sardinehollow_config/parts/PartJoiner.h"
#include "support/ExampleConfiguration.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>

using namespace sardinehollow;
using config::ConfigurationDelta;
using config::ConfigurationPart;

namespace {

constexpr std::uint32_t blockCount = 20'000;

config::Configuration largeConfiguration()
{
    config::Configuration configuration = *config::readConfiguration(tests::exampleConfiguration);
    configuration.clientBlocks.clear();
    for (std::uint32_t index = 0; index < blockCount; ++index) {
        const std::string text = "10." + std::to_string(index / 65536) + "."
                + std::to_string(index / 256 % 256) + "." + std::to_string(index % 256) + "/32";
        configuration.clientBlocks.push_back({*core::IpPrefix::parse(text), 0});
    }
    return configuration;
}

std::vector<std::string> digestsOf(const std::vector<ConfigurationPart> &parts)
{
    std::vector<std::string> digests;
    for (const ConfigurationPart &part : parts)
        digests.push_back(part.digest);
    return digests;
}

config::PartLookup lookupIn(const std::vector<ConfigurationPart> &parts)
{
    return [&parts](const std::string &digest) -> const std::string * {
        for (const ConfigurationPart &part : parts) {
            if (part.digest == digest)
                return &part.text;
        }
        return nullptr;
    };
}

} // namespace

TEST_CASE("Edits turn any text into any other")
{
    REQUIRE(rc::check([] {
        // A small set of lines, so that lines are repeated, moved and removed.
        const auto lines = rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("a\n", "b\n", "c\n", "dd\n", "e", "\n"));
        const auto join = [](const std::vector<std::string> &list) {
            std::string text;
            for (const std::string &line : list)
                text += line;
            return text;
        };
        const std::string from = join(*lines);
        const std::string to = join(*lines);
        RC_ASSERT(config::applyEdits(from, config::editsBetween(from, to)) == to);
    }));
}

TEST_CASE("A delta of a few client blocks is small and restores all parts")
{
    const config::Configuration before = largeConfiguration();
    const std::vector<ConfigurationPart> base = config::splitIntoParts(before);
    REQUIRE(base.size() > 3);
    const int kind = GENERATE(0, 1, 2, 3, 4);
    CAPTURE(kind);
    config::Configuration after = before;
    const auto middle = after.clientBlocks.begin() + blockCount / 2;
    if (kind == 0)
        after.answerLifetime += std::chrono::milliseconds(1);
    else if (kind == 1)
        after.clientBlocks.erase(middle);
    else if (kind == 2)
        after.clientBlocks.push_back({*core::IpPrefix::parse("11.0.0.0/8"), 0});
    else if (kind == 3)
        after.clientBlocks.erase(middle, middle + 3);
    const std::vector<ConfigurationPart> next = config::splitIntoParts(after);
    const ConfigurationDelta delta
            = ConfigurationDelta::between(7, digestsOf(base), next, lookupIn(base));
    const std::string text = delta.toJson();
    REQUIRE(text.size() < 1000);
    const auto read = ConfigurationDelta::fromJson(text);
    REQUIRE(read);
    REQUIRE(read->baseGeneration == 7);
    const auto applied = read->apply(digestsOf(base), lookupIn(base));
    REQUIRE(applied);
    REQUIRE(digestsOf(*applied) == digestsOf(next));
    // A delta is refused on another base instead of being applied to other text.
    std::vector<ConfigurationPart> other = base;
    for (ConfigurationPart &part : other)
        part.text = "other\n" + part.text;
    const bool changed = kind != 4;
    REQUIRE(read->apply(digestsOf(base), lookupIn(other)).has_value() != changed);
    REQUIRE(read->apply({}, lookupIn(base)).has_value() == false);
}

TEST_CASE("Damaged deltas are refused")
{
    const std::string text
            = GENERATE("", "[]", "{}", "{\"base\":1,\"runs\":[1]}",
                       "{\"base\":1,\"runs\":[{\"first\":0,\"digest\":\"x\",\"edits\":[1]}]}",
                       "{\"base\":\"x\",\"runs\":[]}");
    CAPTURE(text);
    const auto delta = ConfigurationDelta::fromJson(text);
    // A delta without runs gives no parts, which match no manifest.
    REQUIRE((!delta || delta->runs.empty()));
}

TEST_CASE("Joining with cached parts after a change gives the changed configuration")
{
    config::PartJoiner joiner;
    config::Configuration configuration = largeConfiguration();
    const auto join = [&joiner](const config::Configuration &wanted) {
        const std::vector<ConfigurationPart> parts = config::splitIntoParts(wanted);
        std::vector<config::PartJoiner::Part> list;
        for (const ConfigurationPart &part : parts)
            list.push_back({part.digest, &part.text});
        return joiner.join(list).value();
    };
    REQUIRE(join(configuration) == configuration);
    configuration.clientBlocks.pop_back();
    REQUIRE(join(configuration) == configuration);
    // A change of the sites' order changes the meaning of the cached site indexes.
    configuration.sites.insert(configuration.sites.begin(), {"first", {"west-a"}});
    for (config::ClientBlock &block : configuration.clientBlocks)
        ++block.site;
    REQUIRE(join(configuration) == configuration);
}
