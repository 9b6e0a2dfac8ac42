#pragma once

#include <cstdint>

namespace sardinehollow::platform {

/**
 * A store that is restored from an older copy begins another history, in which revisions are given
 * out again. So that a later revision is always the larger one, a KeyValueStore adds this to the
 * revisions of each further history.
 */
inline constexpr std::int64_t revisionsPerHistory = 1'000'000'000'000;

/** Number of the history that a revision belongs to. */
inline std::int64_t historyOf(std::int64_t revision)
{
    return revision / revisionsPerHistory;
}

/** The revision of a history as the store itself counts it. */
inline std::int64_t revisionWithin(std::int64_t revision)
{
    return revision % revisionsPerHistory;
}

inline std::int64_t toRevision(std::int64_t history, std::int64_t revisionWithinHistory)
{
    return history * revisionsPerHistory + revisionWithinHistory;
}

} // namespace sardinehollow::platform
