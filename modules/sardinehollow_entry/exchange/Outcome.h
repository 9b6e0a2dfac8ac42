#pragma once

#include <string_view>

namespace sardinehollow::entry {

/** Outcome of a request as reported to its caller in the Sardinehollow-Outcome field. */
enum class Outcome {
    Complete,
    NotRun,
    Unknown,
};

std::string_view toName(Outcome outcome);

} // namespace sardinehollow::entry
