#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_routing/backends/BackendServer.h"
#include "sardinehollow_routing/configuration/RouteTable.h"
#include "sardinehollow_routing/entries/EntryDirectory.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::apps {

/** Contents of the users' platform's store, read page by page. */
struct PlatformView
{
    /** Store revision of the first page; later pages may be newer. */
    std::int64_t revision = 0;
    /** Null if the store has no configuration or its value cannot be decoded. */
    std::shared_ptr<const routing::RouteTable> table;
    /** Names of the evacuated failure domains. */
    std::set<std::string> evacuated;
    /** Backend servers by id. */
    std::map<std::string, routing::BackendServer> servers;
    routing::EntryDirectory entries;
    /** Keys whose values cannot be decoded, each with the reason. */
    std::vector<std::string> faults;

    /** Returns the region from the entry of a daemon in the failure domain; empty without one. */
    std::string regionOf(const std::string &failureDomain) const;
};

/** Reads all keys from the store at the address "IP:port". */
core::Result<PlatformView> readPlatform(const std::string &storeAddress);

} // namespace sardinehollow::apps
