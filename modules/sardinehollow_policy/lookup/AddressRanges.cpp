#include "sardinehollow_policy/lookup/AddressRanges.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace sardinehollow::policy {

namespace {

constexpr std::uint16_t noSite = std::numeric_limits<std::uint16_t>::max();
constexpr AddressKey largestKey = ~static_cast<AddressKey>(0);

struct OpenBlock
{
    AddressKey last = 0;
    std::uint16_t site = noSite;
};

unsigned trailingZeros(AddressKey key)
{
    const auto low = static_cast<std::uint64_t>(key);
    if (low != 0)
        return static_cast<unsigned>(__builtin_ctzll(low));
    const auto high = static_cast<std::uint64_t>(key >> 64U);
    return high == 0 ? 127U : 64U + static_cast<unsigned>(__builtin_ctzll(high));
}

template <typename Start>
std::size_t lastIndexNotAfter(const std::vector<Start> &starts, Start value)
{
    const auto after = std::upper_bound(starts.begin(), starts.end(), value);
    return static_cast<std::size_t>(after - starts.begin()) - 1;
}

} // namespace

AddressRanges::AddressRanges(const std::vector<config::ClientBlock> &blocks)
{
    encode(flatten(blocks));
}

std::optional<std::uint32_t> AddressRanges::site(AddressKey key) const
{
    if (m_sites.empty() || key < m_base)
        return std::nullopt;
    const AddressKey offset = (key - m_base) >> m_alignmentBits;
    std::size_t index = 0;
    if (m_starts.empty()) {
        index = lastIndexNotAfter(m_wideStarts, offset);
    } else {
        constexpr std::uint32_t largest = std::numeric_limits<std::uint32_t>::max();
        const std::uint32_t clamped
                = offset > largest ? largest : static_cast<std::uint32_t>(offset);
        index = lastIndexNotAfter(m_starts, clamped);
    }
    if (m_sites[index] == noSite)
        return std::nullopt;
    return m_sites[index];
}

std::size_t AddressRanges::memoryBytes() const
{
    return sizeof(*this) + m_starts.capacity() * sizeof(std::uint32_t)
            + m_wideStarts.capacity() * sizeof(AddressKey)
            + m_sites.capacity() * sizeof(std::uint16_t);
}

std::vector<AddressRanges::Range>
AddressRanges::flatten(const std::vector<config::ClientBlock> &blocks)
{
    std::vector<Range> ranges;
    std::vector<OpenBlock> open;
    const auto beginRange = [&ranges](AddressKey start, std::uint16_t site) {
        if (!ranges.empty() && ranges.back().start == start)
            ranges.pop_back();
        const bool same = ranges.empty() ? site == noSite : ranges.back().site == site;
        if (!same)
            ranges.push_back({start, site});
    };
    const auto closeUntil = [&open, &beginRange](AddressKey start, bool all) {
        while (!open.empty() && (all || open.back().last < start)) {
            const AddressKey last = open.back().last;
            open.pop_back();
            if (last != largestKey)
                beginRange(last + 1, open.empty() ? noSite : open.back().site);
        }
    };
    for (const config::ClientBlock &block : blocks) {
        assert(block.site < noSite);
        const AddressKey start = toKey(block.prefix.address);
        closeUntil(start, false);
        open.push_back({lastKey(block.prefix), static_cast<std::uint16_t>(block.site)});
        beginRange(start, open.back().site);
    }
    closeUntil(0, true);
    return ranges;
}

void AddressRanges::encode(const std::vector<Range> &ranges)
{
    if (ranges.empty())
        return;
    m_base = ranges.front().start;
    AddressKey differences = 0;
    for (const Range &range : ranges)
        differences |= range.start - m_base;
    m_alignmentBits = trailingZeros(differences);
    const AddressKey largest = (ranges.back().start - m_base) >> m_alignmentBits;
    const bool compact = largest <= std::numeric_limits<std::uint32_t>::max();
    m_starts.reserve(compact ? ranges.size() : 0);
    m_wideStarts.reserve(compact ? 0 : ranges.size());
    m_sites.reserve(ranges.size());
    for (const Range &range : ranges) {
        const AddressKey offset = (range.start - m_base) >> m_alignmentBits;
        if (compact)
            m_starts.push_back(static_cast<std::uint32_t>(offset));
        else
            m_wideStarts.push_back(offset);
        m_sites.push_back(range.site);
    }
}

} // namespace sardinehollow::policy
