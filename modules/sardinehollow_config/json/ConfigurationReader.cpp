#include "sardinehollow_config/json/ConfigurationReader.h"

#include "sardinehollow_config/json/ConfigurationValidator.h"
#include "sardinehollow_config/json/JsonDocument.h"
#include "sardinehollow_config/json/ObjectReader.h"

#include <algorithm>
#include <unordered_map>

namespace sardinehollow::config {

namespace {

constexpr std::int64_t maximumAnswerLifetimeMs = 60'000;
constexpr std::int64_t maximumDeadlineMs = 86'400'000;
constexpr std::int64_t maximumBytes = std::int64_t {1} << 40U;
constexpr std::int64_t maximumCount = 1'000'000;
constexpr std::int64_t defaultQueueLimit = 200;
constexpr std::int64_t defaultMaxRequestBytes = 1 << 20U;
constexpr std::int64_t defaultRetentionSeconds = 86'400;

RankDefinition readRank(ObjectReader &reader)
{
    RankDefinition rank;
    rank.name = reader.name("name");
    rank.floorShare = reader.number("floorShare", 0.0, 0.9, 0.0);
    rank.latencyTarget
            = std::chrono::milliseconds(reader.integer("latencyTargetMs", 1, maximumDeadlineMs));
    return rank;
}

FailureDomain readFailureDomain(ObjectReader &reader)
{
    return {reader.name("name"), reader.text("region")};
}

Link readLink(ObjectReader &reader)
{
    Link link;
    link.firstRegion = reader.text("firstRegion");
    link.secondRegion = reader.text("secondRegion");
    link.bytesPerSecond
            = static_cast<std::uint64_t>(reader.integer("bytesPerSecond", 1000, maximumBytes));
    link.oneWayLatency
            = std::chrono::microseconds(reader.integer("oneWayLatencyUs", 0, 10'000'000, 0));
    return link;
}

BackendServer readBackendServer(ObjectReader &reader)
{
    BackendServer server;
    server.name = reader.name("name");
    server.address = reader.text("address");
    server.failureDomain = reader.text("failureDomain");
    server.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, 10'000));
    return server;
}

BackendPool readPool(ObjectReader &reader)
{
    BackendPool pool;
    pool.name = reader.name("name");
    pool.connectionLimit
            = static_cast<std::uint32_t>(reader.integer("connectionLimit", 1, 100'000, 400));
    reader.objects("backendServers", true, [&pool](ObjectReader &element) {
        pool.backendServers.push_back(readBackendServer(element));
    });
    return pool;
}

StoreOutageMode readStoreOutage(ObjectReader &reader)
{
    const std::string name = reader.optionalText("storeOutage", "refuse");
    const std::optional<StoreOutageMode> mode = storeOutageModeFromName(name);
    if (!mode)
        reader.fault("storeOutage", "is not a known mode", "give \"refuse\" or \"in-memory\"");
    return mode.value_or(StoreOutageMode::Refuse);
}

WorkKind readWorkKind(ObjectReader &reader)
{
    WorkKind kind;
    kind.name = reader.name("name");
    kind.pathPrefix = reader.text("pathPrefix");
    kind.methods = reader.texts("methods", true);
    kind.rank = reader.text("rank");
    kind.pool = reader.text("pool");
    kind.idempotent = reader.boolean("idempotent", true);
    kind.defaultDeadline
            = std::chrono::milliseconds(reader.integer("defaultDeadlineMs", 1, maximumDeadlineMs));
    kind.maxRequestBytes = static_cast<std::uint64_t>(
            reader.integer("maxRequestBytes", 0, maximumBytes, defaultMaxRequestBytes));
    kind.queueLimit = static_cast<std::uint32_t>(
            reader.integer("queueLimit", 0, maximumCount, defaultQueueLimit));
    kind.typicalResponseBytes = static_cast<std::uint64_t>(
            reader.integer("typicalResponseBytes", 0, maximumBytes, 0));
    kind.storeOutage = readStoreOutage(reader);
    kind.claimRetention = std::chrono::seconds(reader.integer(
            "claimRetentionSeconds", 1, 30 * defaultRetentionSeconds, defaultRetentionSeconds));
    return kind;
}

Shift readShift(ObjectReader &reader)
{
    Shift shift;
    shift.name = reader.name("name");
    shift.fromRegion = reader.text("fromRegion");
    shift.workKinds = reader.texts("workKinds", false);
    shift.fraction = reader.number("fraction", 0.0, 1.0);
    shift.stepFraction = reader.number("stepFraction", 0.001, 1.0, 1.0);
    shift.stepInterval = std::chrono::seconds(reader.integer("stepIntervalSeconds", 0, 86'400, 0));
    reader.objects("destinations", true, [&shift](ObjectReader &element) {
        ShiftDestination destination;
        destination.failureDomain = element.text("failureDomain");
        destination.capPerSecond
                = static_cast<std::uint32_t>(element.integer("capPerSecond", 0, maximumCount));
        shift.destinations.push_back(std::move(destination));
    });
    return shift;
}

Drain readDrain(ObjectReader &reader)
{
    Drain drain;
    const std::optional<DrainTarget> target = drainTargetFromName(reader.text("target"));
    if (!target) {
        reader.fault("target", "is not a known target",
                     "give \"vm\", \"backend-server\", \"failure-domain\" or \"region\"");
    }
    drain.target = target.value_or(DrainTarget::Vm);
    drain.name = reader.text("name");
    return drain;
}

std::unordered_map<std::string, std::uint32_t> siteIndexes(const std::vector<Site> &sites)
{
    std::unordered_map<std::string, std::uint32_t> indexes;
    for (std::size_t index = 0; index < sites.size(); ++index)
        indexes.emplace(sites[index].name, static_cast<std::uint32_t>(index));
    return indexes;
}

void readSteering(ObjectReader &reader, Configuration &configuration)
{
    reader.objects("sites", true, [&configuration](ObjectReader &element) {
        const std::string name = element.name("name");
        configuration.sites.push_back({name, element.texts("failureDomains", true)});
    });
    const auto indexes = siteIndexes(configuration.sites);
    reader.objects("clientBlocks", true, [&configuration, &indexes](ObjectReader &element) {
        const core::Result<core::IpPrefix> prefix = core::IpPrefix::parse(element.text("prefix"));
        if (!prefix)
            element.fault("prefix", prefix.error().message, prefix.error().remedy);
        const auto site = indexes.find(element.text("site"));
        if (site == indexes.end())
            element.fault("site", "is not the name of a site",
                          "give the name of an entry of /sites");
        if (!prefix || site == indexes.end())
            return;
        configuration.clientBlocks.push_back({*prefix, site->second});
    });
    // Sorted by prefix, so that equal sets of blocks compare equal. Client look-ups need this order
    // as well.
    std::sort(configuration.clientBlocks.begin(), configuration.clientBlocks.end(),
              [](const ClientBlock &left, const ClientBlock &right) {
                  return left.prefix < right.prefix;
              });
}

Configuration readDocument(ObjectReader &reader)
{
    Configuration configuration;
    reader.integer("schemaVersion", 1, 1);
    configuration.deployment = reader.name("deployment");
    configuration.answerLifetime = std::chrono::milliseconds(
            reader.integer("answerLifetimeMs", 100, maximumAnswerLifetimeMs));
    reader.objects("ranks", true, [&configuration](ObjectReader &element) {
        configuration.ranks.push_back(readRank(element));
    });
    configuration.regions = reader.texts("regions", true);
    reader.objects("failureDomains", true, [&configuration](ObjectReader &element) {
        configuration.failureDomains.push_back(readFailureDomain(element));
    });
    reader.objects("links", false, [&configuration](ObjectReader &element) {
        configuration.links.push_back(readLink(element));
    });
    reader.objects("pools", true, [&configuration](ObjectReader &element) {
        configuration.pools.push_back(readPool(element));
    });
    reader.objects("workKinds", true, [&configuration](ObjectReader &element) {
        configuration.workKinds.push_back(readWorkKind(element));
    });
    readSteering(reader, configuration);
    reader.objects("shifts", false, [&configuration](ObjectReader &element) {
        configuration.shifts.push_back(readShift(element));
    });
    reader.objects("drains", false, [&configuration](ObjectReader &element) {
        configuration.drains.push_back(readDrain(element));
    });
    reader.finish();
    return configuration;
}

} // namespace

tl::expected<Configuration, FaultList> readConfiguration(const std::string &text)
{
    FaultList faults;
    const Poco::JSON::Object::Ptr object = parseJsonObject(text, faults);
    if (object.isNull())
        return tl::unexpected<FaultList>(std::move(faults));
    ObjectReader reader(object, "", faults);
    Configuration configuration = readDocument(reader);
    validateConfiguration(configuration, faults);
    if (!faults.empty())
        return tl::unexpected<FaultList>(std::move(faults));
    return configuration;
}

} // namespace sardinehollow::config
