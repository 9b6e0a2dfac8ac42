#pragma once

#include "sardinehollow_config/model/ClientBlock.h"
#include "sardinehollow_policy/lookup/AddressRanges.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace sardinehollow::policy {

/**
 * Finds the longest client block that contains an address (longest prefix match). Immutable after
 * construction. A changed table is a new object that shares the unchanged chunks, so the old one
 * keeps serving look-ups meanwhile.
 */
class ClientBlockTable
{
public:
    ClientBlockTable() = default;
    explicit ClientBlockTable(const std::vector<config::ClientBlock> &blocks);

    /**
     * Returns a table of the given blocks that shares the unchanged chunks with this one. Blocks
     * must be sorted by prefix and differ from those of this table in the changed prefixes only.
     * Only the chunks that contain changes are rebuilt.
     */
    ClientBlockTable withChanges(const std::vector<config::ClientBlock> &blocks,
                                 const std::vector<core::IpPrefix> &changes) const;

    /** Returns the site of the longest matching block, or nothing. */
    std::optional<std::uint32_t> site(const core::IpAddress &address) const;
    std::size_t memoryBytes() const;
    std::size_t chunkCount() const { return m_chunks.size(); }

private:
    using Blocks = std::vector<config::ClientBlock>;
    using Chunk = std::shared_ptr<const AddressRanges>;

    std::size_t chunkOf(AddressKey key) const;
    void appendChunks(Blocks::const_iterator first, Blocks::const_iterator last, AddressKey start,
                      std::optional<AddressKey> end);
    std::optional<AddressKey> endOf(std::size_t chunk) const;

    /** First address of each chunk; chunk i ends where chunk i + 1 starts. */
    std::vector<AddressKey> m_starts;
    std::vector<Chunk> m_chunks;
    /** Blocks that extend beyond the chunk in which they start, sorted by prefix. */
    Blocks m_wideBlocks;
    /** The address ranges of m_wideBlocks. */
    Chunk m_wideRanges = std::make_shared<const AddressRanges>();
};

} // namespace sardinehollow::policy
