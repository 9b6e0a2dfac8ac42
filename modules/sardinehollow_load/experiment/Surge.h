#pragma once

#include <string>

namespace sardinehollow::load {

/** Multiplies the arrival rate of a work kind in [startSecond, endSecond) of a run. */
struct Surge
{
    std::string workKind;
    double factor = 1.0;
    double startSecond = 0.0;
    double endSecond = 0.0;
};

} // namespace sardinehollow::load
