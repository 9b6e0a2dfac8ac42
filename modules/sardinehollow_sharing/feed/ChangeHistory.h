#pragma once

#include "sardinehollow_platform/store/KeyValue.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace sardinehollow::sharing {

/** The latest changes of the store, bounded in size. Not safe for concurrent use. */
class ChangeHistory
{
public:
    /** Discards all changes; those up to the revision are not available. */
    void reset(std::int64_t revision);
    /** Adds all changes after the last revision, up to and including the given one. */
    void append(const std::vector<platform::KeyValue> &changes, std::int64_t revision);
    /** All changes up to this revision have been added; 0 before the first reset. */
    std::int64_t revision() const { return m_revision; }
    /**
     * Returns the last change of each key after a revision, in order, or nothing if some of them
     * were discarded.
     */
    std::optional<std::vector<platform::KeyValue>> changesAfter(std::int64_t revision) const;

private:
    /** Changes up to this revision are not available. */
    std::int64_t m_discardedRevision = 0;
    std::int64_t m_revision = 0;
    std::size_t m_bytes = 0;
    std::deque<platform::KeyValue> m_changes;
};

} // namespace sardinehollow::sharing
