#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::load {

/** Counts of violated guarantees by name; a run passes only if all are 0. */
using ViolationCounts = std::map<std::string, std::uint64_t>;

} // namespace sardinehollow::load
