#pragma once

#include "sardinehollow_config/model/ClientBlock.h"
#include "sardinehollow_policy/lookup/AddressKey.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinehollow::policy {

/**
 * Client blocks, which may nest, flattened to disjoint address ranges with one site or none each.
 * A look-up is a binary search. Immutable.
 */
class AddressRanges
{
public:
    AddressRanges() = default;
    /** Blocks must be sorted by prefix and their sites below 65,535. */
    explicit AddressRanges(const std::vector<config::ClientBlock> &blocks);

    /** Returns the site of the longest block that contains the address, or nothing. */
    std::optional<std::uint32_t> site(AddressKey key) const;
    std::size_t memoryBytes() const;

private:
    struct Range
    {
        AddressKey start = 0;
        std::uint16_t site = 0;
    };

    static std::vector<Range> flatten(const std::vector<config::ClientBlock> &blocks);
    void encode(const std::vector<Range> &ranges);

    AddressKey m_base = 0;
    /** Number of low-order bits that are the same in all starts and so need not be stored. */
    unsigned m_alignmentBits = 0;
    /**
     * Starts as (start - m_base) >> m_alignmentBits: in m_starts if all of them fit into 32 bits,
     * else in m_wideStarts.
     */
    std::vector<std::uint32_t> m_starts;
    std::vector<AddressKey> m_wideStarts;
    std::vector<std::uint16_t> m_sites;
};

} // namespace sardinehollow::policy
