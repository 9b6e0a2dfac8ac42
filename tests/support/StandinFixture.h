#pragma once

#include "sardinehollow_standin/control/Standin.h"

#include <string>

namespace sardinehollow::tests {

/** Settings of a stand-in on free loopback ports, without backend servers; tests add their own. */
inline standin::StandinSettings standinSettings()
{
    const auto settings = standin::readStandinSettings(
            R"({"platformAddress": "127.0.0.1:0", "controlAddress": "127.0.0.1:0",
                "progressIntervalMs": 50})");
    return *settings;
}

} // namespace sardinehollow::tests
