#include "sardinehollow_policy/lookup/ClientBlockTable.h"

#include <algorithm>
#include <set>

namespace sardinehollow::policy {

namespace {

// Smaller chunks make it cheaper to rebuild a chunk but lengthen the list of chunks, which is
// copied for each changed table.
constexpr std::ptrdiff_t blocksPerChunk = 1024;

bool byPrefix(const config::ClientBlock &left, const config::ClientBlock &right)
{
    return left.prefix < right.prefix;
}

bool startsBefore(const config::ClientBlock &block, AddressKey key)
{
    return toKey(block.prefix.address) < key;
}

} // namespace

ClientBlockTable::ClientBlockTable(const std::vector<config::ClientBlock> &blocks)
{
    Blocks sorted;
    const bool inOrder = std::is_sorted(blocks.begin(), blocks.end(), byPrefix);
    if (!inOrder) {
        sorted = blocks;
        std::sort(sorted.begin(), sorted.end(), byPrefix);
    }
    const Blocks &all = inOrder ? blocks : sorted;
    appendChunks(all.begin(), all.end(), 0, std::nullopt);
    m_wideRanges = std::make_shared<const AddressRanges>(m_wideBlocks);
}

ClientBlockTable ClientBlockTable::withChanges(const std::vector<config::ClientBlock> &blocks,
                                               const std::vector<core::IpPrefix> &changes) const
{
    if (m_chunks.empty())
        return ClientBlockTable(blocks);
    std::set<std::size_t> changedChunks;
    for (const core::IpPrefix &prefix : changes)
        changedChunks.insert(chunkOf(toKey(prefix.address)));
    ClientBlockTable next;
    next.m_starts.reserve(m_starts.size());
    next.m_chunks.reserve(m_chunks.size());
    for (const config::ClientBlock &block : m_wideBlocks) {
        if (changedChunks.count(chunkOf(toKey(block.prefix.address))) == 0)
            next.m_wideBlocks.push_back(block);
    }
    for (std::size_t index = 0; index < m_chunks.size(); ++index) {
        if (changedChunks.count(index) == 0) {
            next.m_starts.push_back(m_starts[index]);
            next.m_chunks.push_back(m_chunks[index]);
            continue;
        }
        const std::optional<AddressKey> end = endOf(index);
        const auto first
                = std::lower_bound(blocks.begin(), blocks.end(), m_starts[index], startsBefore);
        const auto last
                = end ? std::lower_bound(first, blocks.end(), *end, startsBefore) : blocks.end();
        next.appendChunks(first, last, m_starts[index], end);
    }
    std::sort(next.m_wideBlocks.begin(), next.m_wideBlocks.end(), byPrefix);
    next.m_wideRanges = next.m_wideBlocks == m_wideBlocks
            ? m_wideRanges
            : std::make_shared<const AddressRanges>(next.m_wideBlocks);
    return next;
}

std::optional<std::uint32_t> ClientBlockTable::site(const core::IpAddress &address) const
{
    if (m_chunks.empty())
        return std::nullopt;
    const AddressKey key = toKey(address);
    // Of two blocks that contain an address, one contains the other. A wide block cannot lie within
    // a block of one chunk, so a match within the chunk is the longer one.
    const std::optional<std::uint32_t> narrow = m_chunks[chunkOf(key)]->site(key);
    return narrow ? narrow : m_wideRanges->site(key);
}

std::size_t ClientBlockTable::memoryBytes() const
{
    std::size_t bytes = sizeof(*this) + m_starts.capacity() * sizeof(AddressKey)
            + m_chunks.capacity() * sizeof(Chunk)
            + m_wideBlocks.capacity() * sizeof(config::ClientBlock) + m_wideRanges->memoryBytes();
    for (const Chunk &chunk : m_chunks)
        bytes += chunk->memoryBytes();
    return bytes;
}

std::size_t ClientBlockTable::chunkOf(AddressKey key) const
{
    const auto after = std::upper_bound(m_starts.begin(), m_starts.end(), key);
    return static_cast<std::size_t>(after - m_starts.begin()) - 1;
}

std::optional<AddressKey> ClientBlockTable::endOf(std::size_t chunk) const
{
    if (chunk + 1 == m_starts.size())
        return std::nullopt;
    return m_starts[chunk + 1];
}

void ClientBlockTable::appendChunks(Blocks::const_iterator first, Blocks::const_iterator last,
                                    AddressKey start, std::optional<AddressKey> end)
{
    do {
        // A growing chunk is split only when it exceeds twice the size, so that splits stay rare.
        const bool split = last - first > 2 * blocksPerChunk;
        Blocks::const_iterator next = split ? first + blocksPerChunk : last;
        // Blocks with the same first address stay in one chunk, as chunks are found by address.
        while (next != last && next->prefix.address == (next - 1)->prefix.address)
            ++next;
        const std::optional<AddressKey> chunkEnd
                = next == last ? end : std::optional<AddressKey>(toKey(next->prefix.address));
        Blocks narrow;
        for (; first != next; ++first) {
            const bool wide = chunkEnd && lastKey(first->prefix) >= *chunkEnd;
            (wide ? m_wideBlocks : narrow).push_back(*first);
        }
        m_starts.push_back(start);
        m_chunks.push_back(std::make_shared<const AddressRanges>(narrow));
        start = chunkEnd.value_or(0);
    } while (first != last);
}

} // namespace sardinehollow::policy
