#pragma once

#include "sardinehollow_routing/backends/BackendRegistry.h"

#include <optional>
#include <string_view>

namespace sardinehollow::routing {

/** Why a request got the server that it got, or none. */
enum class SelectionReason {
    /** The object's home in the own region. */
    NearHome,
    /** The object's home in another region. */
    FarHome,
    /** Another server with room: for a repeated attempt, or a cold one in place of a refusal. */
    Alternative,
    /** The service has no server that the request may run on. */
    NoServer,
    /** All servers that may be used are full. */
    Overloaded,
    /** The region is full, and no more of its requests may move to other regions at present. */
    MoveLimited,
};

std::string_view toName(SelectionReason reason);

/** State of a home of an object at the time of a choice. */
struct HomeState
{
    /** Empty if there is no such home. */
    std::string server;
    /** Estimated requests that run or wait there. */
    double load = 0;
    /** Time since the server last reported its load; nothing if it never did. */
    std::optional<core::Duration> reportAge;
};

/** What a choice of a server rested on. */
struct SelectionInputs
{
    HomeState near;
    HomeState far;
    /** Share of the service's objects that leave the region. */
    double spillLevel = 0;
};

/** The backend server for one attempt. */
struct Selection
{
    /** Null if there is none. */
    BackendStatePtr server;
    SelectionReason reason = SelectionReason::NoServer;
    /** What the choice rested on, for the log. */
    SelectionInputs inputs {};
};

} // namespace sardinehollow::routing
