#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <deque>

namespace sardinehollow::policy {

/** Sliding window that counts the admissions of the last second, each by its exact time. */
class CapWindow
{
public:
    static constexpr core::Duration width = std::chrono::seconds(1);

    /** Adds admissions that took place at or before the time. Times may be out of order. */
    void add(std::uint32_t admissions, core::Instant time);
    /** Removes admissions that are older than the window, which includes both of its ends. */
    void advance(core::Instant now);
    std::uint32_t count() const { return m_count; }

private:
    struct Entry
    {
        std::uint32_t admissions = 0;
        core::Instant time {0};
    };

    std::deque<Entry> m_entries;
    std::uint32_t m_count = 0;
};

} // namespace sardinehollow::policy
