#pragma once

#include "sardinehollow_routing/backends/BackendRegistry.h"

#include <optional>
#include <string_view>

namespace sardinehollow::routing {

/** Why a server was selected for a request, or none was. */
enum class SelectionReason {
    /** The object's home server in the daemon's region. */
    NearHome,
    /** The object's home server in another region. */
    FarHome,
    /** Another server with capacity: for a retry, or a cold one in place of shedding. */
    Alternative,
    /** The service has no eligible server. */
    NoServer,
    /** All eligible servers are at capacity. */
    Overloaded,
    /** The region is at capacity, and the spill ramp admits no more requests to other regions. */
    MoveLimited,
    /** All eligible servers have asked for a pause or a lower rate of requests. */
    NoPermit,
};

std::string_view toName(SelectionReason reason);

/** State of an object's home server at the time of a selection. */
struct HomeState
{
    /** Id of the server; empty if there is no such home. */
    std::string server;
    /** Estimated number of requests running or queued there. */
    double load = 0;
    /** Time since the server's last load report; empty if there was none. */
    std::optional<core::Duration> reportAge;
    /** Position among the object's servers; above 0 if others have less load. */
    std::size_t rank = 0;
};

/** The inputs of a selection, for the log. */
struct SelectionInputs
{
    HomeState near;
    HomeState far;
    /** Share of the service's objects that spill over to other regions; 0 to 1. */
    double spillLevel = 0;
    /** Share that is to spill over by measured demand; empty without a fresh measurement. */
    std::optional<double> spillTarget = std::nullopt;
    /** Mean predicted load per slot in the daemon's region, if the load is evened out. */
    std::optional<double> meanLoad = std::nullopt;
};

/** The backend server selected for one attempt. */
struct Selection
{
    /** Null if there is none. */
    BackendStatePtr server;
    SelectionReason reason = SelectionReason::NoServer;
    SelectionInputs inputs {};
    /** Without a server, how long none will take requests of this daemon; empty if unknown. */
    std::optional<core::Duration> retryAfter = std::nullopt;
};

} // namespace sardinehollow::routing
