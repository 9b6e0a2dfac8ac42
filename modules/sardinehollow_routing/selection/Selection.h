#pragma once

#include "sardinehollow_routing/backends/BackendRegistry.h"

#include <string_view>

namespace sardinehollow::routing {

/** Why a request got the server that it got, or none. */
enum class SelectionReason {
    /** The object's home in the own region. */
    NearHome,
    /** The object's home in another region. */
    FarHome,
    /** Any other server with room, for a repeated attempt. */
    Alternative,
    /** The service has no server that the request may run on. */
    NoServer,
    /** All servers that may be used are full. */
    Overloaded,
};

std::string_view toName(SelectionReason reason);

/** The backend server for one attempt. */
struct Selection
{
    /** Null if there is none. */
    BackendStatePtr server;
    SelectionReason reason = SelectionReason::NoServer;
};

} // namespace sardinehollow::routing
