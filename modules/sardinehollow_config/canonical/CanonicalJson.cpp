#include "sardinehollow_config/canonical/CanonicalJson.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace sardinehollow::config {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr makeObject()
{
    return new Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

Array::Ptr toArray(const std::vector<std::string> &texts)
{
    Array::Ptr array = new Array;
    for (const std::string &text : texts)
        array->add(text);
    return array;
}

template <typename Items, typename Writer>
Array::Ptr toArray(const Items &items, Writer writer)
{
    Array::Ptr array = new Array;
    for (const auto &item : items)
        array->add(writer(item));
    return array;
}

Object::Ptr write(const RankDefinition &rank)
{
    Object::Ptr object = makeObject();
    object->set("name", rank.name);
    object->set("floorShare", rank.floorShare);
    object->set("latencyTargetMs", rank.latencyTarget.count());
    return object;
}

Object::Ptr write(const FailureDomain &failureDomain)
{
    Object::Ptr object = makeObject();
    object->set("name", failureDomain.name);
    object->set("region", failureDomain.region);
    return object;
}

Object::Ptr write(const Link &link)
{
    Object::Ptr object = makeObject();
    object->set("firstRegion", link.firstRegion);
    object->set("secondRegion", link.secondRegion);
    object->set("bytesPerSecond", link.bytesPerSecond);
    object->set("oneWayLatencyUs", link.oneWayLatency.count());
    return object;
}

Object::Ptr write(const BackendServer &server)
{
    Object::Ptr object = makeObject();
    object->set("name", server.name);
    object->set("address", server.address);
    object->set("failureDomain", server.failureDomain);
    object->set("slots", server.slots);
    return object;
}

Object::Ptr write(const BackendPool &pool)
{
    Object::Ptr object = makeObject();
    object->set("name", pool.name);
    object->set("connectionLimit", pool.connectionLimit);
    object->set("backendServers",
                toArray(pool.backendServers, [](const auto &server) { return write(server); }));
    return object;
}

Object::Ptr write(const WorkKind &kind)
{
    Object::Ptr object = makeObject();
    object->set("name", kind.name);
    object->set("pathPrefix", kind.pathPrefix);
    object->set("methods", toArray(kind.methods));
    object->set("rank", kind.rank);
    object->set("pool", kind.pool);
    object->set("idempotent", kind.idempotent);
    object->set("defaultDeadlineMs", kind.defaultDeadline.count());
    object->set("maxRequestBytes", kind.maxRequestBytes);
    object->set("queueLimit", kind.queueLimit);
    object->set("typicalResponseBytes", kind.typicalResponseBytes);
    object->set("storeOutage", std::string(toName(kind.storeOutage)));
    object->set("claimRetentionSeconds", kind.claimRetention.count());
    return object;
}

Object::Ptr write(const Site &site)
{
    Object::Ptr object = makeObject();
    object->set("name", site.name);
    object->set("failureDomains", toArray(site.failureDomains));
    return object;
}

Object::Ptr write(const ClientBlock &block, const std::vector<Site> &sites)
{
    Object::Ptr object = makeObject();
    object->set("prefix", block.prefix.text());
    object->set("site", sites.at(block.site).name);
    return object;
}

Object::Ptr write(const ShiftDestination &destination)
{
    Object::Ptr object = makeObject();
    object->set("failureDomain", destination.failureDomain);
    object->set("capPerSecond", destination.capPerSecond);
    return object;
}

Object::Ptr write(const Shift &shift)
{
    Object::Ptr object = makeObject();
    object->set("name", shift.name);
    object->set("fromRegion", shift.fromRegion);
    object->set("workKinds", toArray(shift.workKinds));
    object->set("fraction", shift.fraction);
    object->set("stepFraction", shift.stepFraction);
    object->set("stepIntervalSeconds", shift.stepInterval.count());
    object->set("destinations", toArray(shift.destinations, [](const auto &destination) {
                    return write(destination);
                }));
    return object;
}

Object::Ptr write(const Drain &drain)
{
    Object::Ptr object = makeObject();
    object->set("target", std::string(toName(drain.target)));
    object->set("name", drain.name);
    return object;
}

Object::Ptr write(const Configuration &configuration)
{
    const auto writeItem = [](const auto &item) { return write(item); };
    Object::Ptr object = makeObject();
    object->set("schemaVersion", 1);
    object->set("deployment", configuration.deployment);
    object->set("answerLifetimeMs", configuration.answerLifetime.count());
    object->set("ranks", toArray(configuration.ranks, writeItem));
    object->set("regions", toArray(configuration.regions));
    object->set("failureDomains", toArray(configuration.failureDomains, writeItem));
    object->set("links", toArray(configuration.links, writeItem));
    object->set("pools", toArray(configuration.pools, writeItem));
    object->set("workKinds", toArray(configuration.workKinds, writeItem));
    object->set("sites", toArray(configuration.sites, writeItem));
    object->set("clientBlocks",
                toArray(configuration.clientBlocks, [&configuration](const ClientBlock &block) {
                    return write(block, configuration.sites);
                }));
    object->set("shifts", toArray(configuration.shifts, writeItem));
    object->set("drains", toArray(configuration.drains, writeItem));
    return object;
}

} // namespace

std::string toCanonicalJson(const Configuration &configuration)
{
    constexpr unsigned indentation = 2;
    std::ostringstream stream;
    write(configuration)->stringify(stream, indentation);
    stream << '\n';
    return stream.str();
}

} // namespace sardinehollow::config
