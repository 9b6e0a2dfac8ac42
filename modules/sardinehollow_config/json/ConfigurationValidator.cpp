#include "sardinehollow_config/json/ConfigurationValidator.h"

#include <algorithm>
#include <set>

namespace sardinehollow::config {

namespace {

using NameSet = std::set<std::string>;

std::string jsonPointer(std::string_view section, std::size_t index, std::string_view field)
{
    std::string pointer = "/" + std::string(section) + "/" + std::to_string(index);
    if (!field.empty())
        pointer += "/" + std::string(field);
    return pointer;
}

void requireKnown(const NameSet &known, const std::string &name, std::string pointer,
                  const std::string &section, FaultList &faults)
{
    // The reader has already reported an empty name.
    if (name.empty() || known.count(name) != 0)
        return;
    faults.push_back(
            {std::move(pointer), "names unknown '" + name + "'", "name an entry of /" + section});
}

template <typename Items, typename NameOf>
NameSet uniqueNames(const Items &items, std::string_view section, std::string_view field,
                    FaultList &faults, NameOf nameOf)
{
    NameSet names;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const std::string &name = nameOf(items[index]);
        if (name.empty() || names.insert(name).second)
            continue;
        faults.push_back({jsonPointer(section, index, field), "repeats the name '" + name + "'",
                          "give each entry its own name"});
    }
    return names;
}

template <typename Items>
NameSet uniqueNames(const Items &items, std::string_view section, FaultList &faults)
{
    return uniqueNames(items, section, "name", faults,
                       [](const auto &item) -> const std::string & { return item.name; });
}

void validateRanks(const Configuration &configuration, FaultList &faults)
{
    double sum = 0.0;
    for (const RankDefinition &rank : configuration.ranks)
        sum += rank.floorShare;
    // The remaining share is reserved for no rank, so that urgent work can use all of it.
    if (sum > 0.9) {
        faults.push_back({"/ranks", "has floor shares that add up to more than 0.9",
                          "lower floorShare of some ranks"});
    }
    if (configuration.ranks.empty() || configuration.ranks.size() > 8)
        faults.push_back({"/ranks", "is empty or has too many entries", "give 1 to 8 ranks"});
}

void validateAddress(const std::string &address, std::string pointer, FaultList &faults)
{
    const std::size_t colon = address.rfind(':');
    bool valid = colon != std::string::npos;
    if (valid) {
        std::string host = address.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        const std::string port = address.substr(colon + 1);
        valid = core::IpAddress::parse(host).has_value() && !port.empty() && port.size() <= 5
                && port.find_first_not_of("0123456789") == std::string::npos && std::stoi(port) >= 1
                && std::stoi(port) <= 65535;
    }
    if (valid || address.empty())
        return;
    faults.push_back({std::move(pointer), "is not an address", "give \"IP:port\""});
}

void validatePools(const Configuration &configuration, const NameSet &failureDomains,
                   FaultList &faults)
{
    NameSet servers;
    for (std::size_t index = 0; index < configuration.pools.size(); ++index) {
        const BackendPool &pool = configuration.pools[index];
        for (std::size_t item = 0; item < pool.backendServers.size(); ++item) {
            const BackendServer &server = pool.backendServers[item];
            const std::string pointer
                    = jsonPointer("pools", index, "backendServers") + "/" + std::to_string(item);
            requireKnown(failureDomains, server.failureDomain, pointer + "/failureDomain",
                         "failureDomains", faults);
            validateAddress(server.address, pointer + "/address", faults);
            if (server.name.empty() || servers.insert(server.name).second)
                continue;
            faults.push_back({pointer + "/name", "repeats the name '" + server.name + "'",
                              "give each backend server its own name"});
        }
    }
}

bool isKnownMethod(const std::string &method)
{
    static const NameSet methods {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
    return methods.count(method) != 0;
}

void validateWorkKinds(const Configuration &configuration, const NameSet &ranks,
                       const NameSet &pools, FaultList &faults)
{
    std::set<std::pair<std::string, std::string>> routes;
    for (std::size_t index = 0; index < configuration.workKinds.size(); ++index) {
        const WorkKind &kind = configuration.workKinds[index];
        requireKnown(ranks, kind.rank, jsonPointer("workKinds", index, "rank"), "ranks", faults);
        requireKnown(pools, kind.pool, jsonPointer("workKinds", index, "pool"), "pools", faults);
        const bool reserved
                = kind.pathPrefix == "/" || kind.pathPrefix.rfind("/v1/entries", 0) == 0;
        if (!kind.pathPrefix.empty() && (kind.pathPrefix.front() != '/' || reserved)) {
            faults.push_back({jsonPointer("workKinds", index, "pathPrefix"),
                              "is not a usable path prefix",
                              "begin with '/', add a name, and do not begin with /v1/entries"});
        }
        for (const std::string &method : kind.methods) {
            if (!isKnownMethod(method)) {
                faults.push_back({jsonPointer("workKinds", index, "methods"),
                                  "has the unknown method '" + method + "'",
                                  "give GET, HEAD, POST, PUT, PATCH or DELETE"});
            }
            if (routes.emplace(kind.pathPrefix, method).second)
                continue;
            faults.push_back({jsonPointer("workKinds", index, "methods"),
                              "repeats " + method + " " + kind.pathPrefix + " of another work kind",
                              "give each pair of method and path prefix to one work kind"});
        }
    }
}

void validateLinks(const Configuration &configuration, const NameSet &regions, FaultList &faults)
{
    std::set<std::pair<std::string, std::string>> pairs;
    for (std::size_t index = 0; index < configuration.links.size(); ++index) {
        const Link &link = configuration.links[index];
        const auto pair = std::minmax(link.firstRegion, link.secondRegion);
        if (link.firstRegion == link.secondRegion || !pairs.insert(pair).second) {
            faults.push_back({"/links/" + std::to_string(index),
                              "repeats a pair of regions or joins a region to itself",
                              "give one link for each pair of different regions"});
        }
        requireKnown(regions, link.firstRegion, jsonPointer("links", index, "firstRegion"),
                     "regions", faults);
        requireKnown(regions, link.secondRegion, jsonPointer("links", index, "secondRegion"),
                     "regions", faults);
    }
}

void validateShifts(const Configuration &configuration, const NameSet &regions,
                    const NameSet &failureDomains, const NameSet &workKinds, FaultList &faults)
{
    for (std::size_t index = 0; index < configuration.shifts.size(); ++index) {
        const Shift &shift = configuration.shifts[index];
        requireKnown(regions, shift.fromRegion, jsonPointer("shifts", index, "fromRegion"),
                     "regions", faults);
        for (const std::string &kind : shift.workKinds)
            requireKnown(workKinds, kind, jsonPointer("shifts", index, "workKinds"), "workKinds",
                         faults);
        NameSet destinations;
        for (const ShiftDestination &destination : shift.destinations) {
            const std::string pointer = jsonPointer("shifts", index, "destinations");
            if (!destinations.insert(destination.failureDomain).second) {
                faults.push_back({pointer, "repeats '" + destination.failureDomain + "'",
                                  "give each failure domain one share of the cap"});
            }
            requireKnown(failureDomains, destination.failureDomain, pointer, "failureDomains",
                         faults);
            if (configuration.regionOf(destination.failureDomain) != shift.fromRegion)
                continue;
            faults.push_back(
                    {pointer,
                     "names a failure domain of the region that the shift moves callers from",
                     "name failure domains of other regions"});
        }
    }
}

NameSet drainableNames(const Configuration &configuration, DrainTarget target)
{
    NameSet names;
    if (target == DrainTarget::Region)
        names.insert(configuration.regions.begin(), configuration.regions.end());
    if (target == DrainTarget::FailureDomain) {
        for (const FailureDomain &failureDomain : configuration.failureDomains)
            names.insert(failureDomain.name);
    }
    if (target == DrainTarget::BackendServer) {
        for (const BackendPool &pool : configuration.pools) {
            for (const BackendServer &server : pool.backendServers)
                names.insert(server.name);
        }
    }
    return names;
}

void validateDrains(const Configuration &configuration, FaultList &faults)
{
    for (std::size_t index = 0; index < configuration.drains.size(); ++index) {
        const Drain &drain = configuration.drains[index];
        // VMs are listed by the platform and not declared in the configuration.
        if (drain.target == DrainTarget::Vm)
            continue;
        requireKnown(drainableNames(configuration, drain.target), drain.name,
                     jsonPointer("drains", index, "name"),
                     "regions, /failureDomains or a backendServers array of /pools", faults);
    }
}

void validateNotEmpty(const Configuration &configuration, FaultList &faults)
{
    const auto require = [&faults](bool present, const std::string &pointer) {
        if (!present)
            faults.push_back({pointer, "is empty", "give at least one entry"});
    };
    require(!configuration.regions.empty(), "/regions");
    require(!configuration.failureDomains.empty(), "/failureDomains");
    require(!configuration.workKinds.empty(), "/workKinds");
    for (std::size_t index = 0; index < configuration.pools.size(); ++index)
        require(!configuration.pools[index].backendServers.empty(),
                jsonPointer("pools", index, "backendServers"));
    for (std::size_t index = 0; index < configuration.sites.size(); ++index)
        require(!configuration.sites[index].failureDomains.empty(),
                jsonPointer("sites", index, "failureDomains"));
    for (std::size_t index = 0; index < configuration.workKinds.size(); ++index)
        require(!configuration.workKinds[index].methods.empty(),
                jsonPointer("workKinds", index, "methods"));
    for (std::size_t index = 0; index < configuration.shifts.size(); ++index)
        require(!configuration.shifts[index].destinations.empty(),
                jsonPointer("shifts", index, "destinations"));
}

// If every failure domain were drained, callers would have no VM left to send requests to.
void validateSomeRegionServes(const Configuration &configuration, FaultList &faults)
{
    const bool serves
            = std::any_of(configuration.failureDomains.begin(), configuration.failureDomains.end(),
                          [&configuration](const FailureDomain &failureDomain) {
                              return !configuration.isFailureDomainDrained(failureDomain.name);
                          });
    if (serves || configuration.failureDomains.empty())
        return;
    faults.push_back({"/drains", "drains every failure domain",
                      "leave at least one failure domain without a drain"});
}

void validateClientBlocks(const Configuration &configuration, FaultList &faults)
{
    // The blocks are sorted by prefix, so repeated prefixes are adjacent.
    for (std::size_t index = 1; index < configuration.clientBlocks.size(); ++index) {
        const core::IpPrefix &prefix = configuration.clientBlocks[index].prefix;
        if (prefix != configuration.clientBlocks[index - 1].prefix)
            continue;
        faults.push_back(
                {"/clientBlocks", "repeats the prefix " + prefix.text(), "give each prefix once"});
    }
}

} // namespace

void validateConfiguration(const Configuration &configuration, FaultList &faults)
{
    const NameSet ranks = uniqueNames(configuration.ranks, "ranks", faults);
    const NameSet regions
            = uniqueNames(configuration.regions, "regions", "", faults,
                          [](const std::string &name) -> const std::string & { return name; });
    const NameSet failureDomains
            = uniqueNames(configuration.failureDomains, "failureDomains", faults);
    const NameSet pools = uniqueNames(configuration.pools, "pools", faults);
    const NameSet workKinds = uniqueNames(configuration.workKinds, "workKinds", faults);
    uniqueNames(configuration.sites, "sites", faults);
    uniqueNames(configuration.shifts, "shifts", faults);

    for (std::size_t index = 0; index < configuration.failureDomains.size(); ++index) {
        requireKnown(regions, configuration.failureDomains[index].region,
                     jsonPointer("failureDomains", index, "region"), "regions", faults);
    }
    for (std::size_t index = 0; index < configuration.sites.size(); ++index) {
        for (const std::string &name : configuration.sites[index].failureDomains)
            requireKnown(failureDomains, name, jsonPointer("sites", index, "failureDomains"),
                         "failureDomains", faults);
    }
    validateNotEmpty(configuration, faults);
    validateSomeRegionServes(configuration, faults);
    validateRanks(configuration, faults);
    validateLinks(configuration, regions, faults);
    validatePools(configuration, failureDomains, faults);
    validateWorkKinds(configuration, ranks, pools, faults);
    validateShifts(configuration, regions, failureDomains, workKinds, faults);
    validateDrains(configuration, faults);
    validateClientBlocks(configuration, faults);
}

} // namespace sardinehollow::config
