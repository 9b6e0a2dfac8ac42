#include "sardinehollow_config/parts/PartCodec.h"

#include "sardinehollow_config/canonical/CanonicalJson.h"
#include "sardinehollow_config/json/ConfigurationReader.h"
#include "sardinehollow_config/parts/ConfigurationDelta.h"
#include "sardinehollow_config/parts/PartJoiner.h"
#include "sardinehollow_core/hash/Sha256.h"
#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <sstream>

namespace sardinehollow::config {

namespace {

// A block takes up to about 60 bytes of text, so a part stays below the store's limit of 1 MB.
constexpr std::size_t averageBlocksPerPart = 4096;
constexpr std::size_t maximumBlocksPerPart = 4 * averageBlocksPerPart;

ConfigurationPart makePart(std::string text)
{
    std::string digest = core::sha256Hex(text);
    return {std::move(digest), std::move(text)};
}

// Content-defined chunking: the hash of a block decides whether its part ends with it, so that
// boundaries stay in place when other blocks change.
bool endsPart(const ClientBlock &block)
{
    return core::stableHash(block.prefix.text()) % averageBlocksPerPart == 0;
}

bool parseBlock(const std::string &line, const PartJoiner::SiteIndexes &sites,
                std::vector<ClientBlock> &blocks)
{
    const std::size_t space = line.find(' ');
    if (space == std::string::npos)
        return false;
    const core::Result<core::IpPrefix> prefix = core::IpPrefix::parse(line.substr(0, space));
    const auto site = sites.find(line.substr(space + 1));
    if (!prefix || site == sites.end())
        return false;
    blocks.push_back({*prefix, site->second});
    return true;
}

} // namespace

std::vector<ConfigurationPart> splitIntoParts(const Configuration &configuration)
{
    Configuration base = configuration;
    base.clientBlocks.clear();
    std::vector<ConfigurationPart> parts;
    parts.push_back(makePart(toCanonicalJson(base)));
    std::string text;
    std::size_t blocks = 0;
    for (const ClientBlock &block : configuration.clientBlocks) {
        text += block.prefix.text() + " " + configuration.sites.at(block.site).name + "\n";
        ++blocks;
        if (blocks < maximumBlocksPerPart && !endsPart(block))
            continue;
        parts.push_back(makePart(std::move(text)));
        text.clear();
        blocks = 0;
    }
    if (!text.empty())
        parts.push_back(makePart(std::move(text)));
    return parts;
}

std::string digestOf(const Configuration &configuration)
{
    std::vector<std::string> digests;
    for (const ConfigurationPart &part : splitIntoParts(configuration))
        digests.push_back(part.digest);
    return makeManifest(digests).digest;
}

tl::expected<Configuration, FaultList> joinParts(const std::vector<std::string> &texts)
{
    std::vector<PartJoiner::Part> parts;
    for (const std::string &text : texts)
        parts.push_back({core::sha256Hex(text), &text});
    return PartJoiner().join(parts);
}

tl::expected<Configuration, FaultList> PartJoiner::join(const std::vector<Part> &parts)
{
    FaultList faults;
    if (parts.empty()) {
        faults.push_back({"", "has no parts", "submit the configuration again"});
        return tl::unexpected<FaultList>(std::move(faults));
    }
    tl::expected<Configuration, FaultList> joined = readConfiguration(*parts.front().text);
    if (!joined)
        return joined;
    SiteIndexes sites;
    for (std::size_t index = 0; index < joined->sites.size(); ++index)
        sites.emplace(joined->sites[index].name, static_cast<std::uint32_t>(index));
    // Cached blocks refer to sites by index, so they are invalid if the sites have changed.
    if (sites != m_sites) {
        m_sites = std::move(sites);
        m_cachedBlocks.clear();
    }
    std::unordered_map<std::string, Blocks> used;
    std::size_t count = 0;
    for (std::size_t index = 1; index < parts.size(); ++index) {
        const auto cached = m_cachedBlocks.find(parts[index].digest);
        Blocks blocks = cached != m_cachedBlocks.end() ? cached->second
                                                       : parseBlocks(*parts[index].text, faults);
        count += blocks->size();
        used.emplace(parts[index].digest, std::move(blocks));
    }
    if (!faults.empty())
        return tl::unexpected<FaultList>(std::move(faults));
    m_cachedBlocks = std::move(used);
    joined->clientBlocks.reserve(count);
    for (std::size_t index = 1; index < parts.size(); ++index) {
        const Blocks &blocks = m_cachedBlocks.at(parts[index].digest);
        joined->clientBlocks.insert(joined->clientBlocks.end(), blocks->begin(), blocks->end());
    }
    return joined;
}

PartJoiner::Blocks PartJoiner::parseBlocks(const std::string &text, FaultList &faults) const
{
    auto blocks = std::make_shared<std::vector<ClientBlock>>();
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (parseBlock(line, m_sites, *blocks))
            continue;
        faults.push_back({"/clientBlocks", "has the invalid line '" + line + "'",
                          "submit the configuration again"});
    }
    return blocks;
}

} // namespace sardinehollow::config
