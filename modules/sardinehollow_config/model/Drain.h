#pragma once

#include "sardinehollow_config/model/DrainTarget.h"

#include <string>

namespace sardinehollow::config {

/** An operator's instruction to send no new work to a part of the system. */
struct Drain
{
    DrainTarget target = DrainTarget::Vm;
    std::string name;

    bool operator==(const Drain &) const = default;
};

} // namespace sardinehollow::config
