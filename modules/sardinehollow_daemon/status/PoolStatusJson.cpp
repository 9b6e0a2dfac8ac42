#include "sardinehollow_daemon/status/PoolStatusJson.h"

#include "sardinehollow_core/names/NameTable.h"

#include <Poco/JSON/Object.h>

namespace sardinehollow::daemon {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr toJson(const policy::PoolStatus::Rank &rank)
{
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("rank", rank.name);
    object->set("queued", rank.queued);
    object->set("inFlight", rank.inFlight);
    object->set("floorSlots", rank.floorSlots);
    return object;
}

Object::Ptr toJson(const policy::PoolStatus::Server &server)
{
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("backendServer", server.name);
    object->set("state", std::string(policy::toName(server.state)));
    object->set("inFlight", server.inFlight);
    object->set("limit", server.limit);
    return object;
}

Object::Ptr toJson(const policy::PoolStatus &pool)
{
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("pool", pool.pool);
    object->set("admitting", pool.admitting);
    Array::Ptr ranks = new Array;
    for (const policy::PoolStatus::Rank &rank : pool.ranks)
        ranks->add(toJson(rank));
    object->set("ranks", ranks);
    Array::Ptr servers = new Array;
    for (const policy::PoolStatus::Server &server : pool.servers) {
        // The daemon that owns a server reports it.
        if (server.state == policy::ServerState::NotOwned)
            continue;
        servers->add(toJson(server));
    }
    object->set("backendServers", servers);
    object->set("lateCompletions", pool.lateCompletions);
    object->set("retries", pool.retries);
    object->set("forwards", pool.forwards);
    return object;
}

} // namespace

Array::Ptr toJson(const std::vector<policy::PoolStatus> &pools)
{
    Array::Ptr array = new Array;
    for (const policy::PoolStatus &pool : pools)
        array->add(toJson(pool));
    return array;
}

} // namespace sardinehollow::daemon
