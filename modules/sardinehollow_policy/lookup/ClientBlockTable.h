#pragma once

#include "sardinehollow_config/model/ClientBlock.h"
#include "sardinehollow_policy/lookup/AddressRanges.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace sardinehollow::policy {

/**
 * Finds the longest client block that contains an address. Immutable after construction; a changed
 * table shares the chunks that the change does not touch, so look-ups go on while it is made.
 */
class ClientBlockTable
{
public:
    ClientBlockTable() = default;
    explicit ClientBlockTable(const std::vector<config::ClientBlock> &blocks);

    /**
     * Returns the table of other blocks. The cost depends on the changes only: blocks must be
     * sorted by prefix and differ from the blocks of this table by the changed prefixes at most.
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
    /** Blocks that reach beyond the chunk they start in, sorted by prefix, and their ranges. */
    Blocks m_wideBlocks;
    Chunk m_wideRanges = std::make_shared<const AddressRanges>();
};

} // namespace sardinehollow::policy
