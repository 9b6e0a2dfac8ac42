#include "sardinehollow_policy/lookup/ClientBlockTable.h"

#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_policy/lookup/ClientBlockChanges.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>

using namespace sardinehollow;
using namespace sardinehollow::policy;

namespace {

using Blocks = std::vector<config::ClientBlock>;
/** Reference model: sites by prefix, searched from the longest prefix to the shortest. */
using BlockMap = std::map<core::IpPrefix, std::uint32_t>;

core::IpAddress toAddress(AddressKey key)
{
    std::array<std::uint8_t, 16> bytes {};
    for (std::size_t index = 0; index < bytes.size(); ++index)
        bytes[index] = static_cast<std::uint8_t>(key >> (120U - 8U * index));
    return core::IpAddress(bytes);
}

core::IpPrefix toPrefix(AddressKey key, unsigned length)
{
    const AddressKey mask = length == 0 ? 0 : ~static_cast<AddressKey>(0) << (128U - length);
    return {toAddress(key & mask), length};
}

// Addresses come from a small space of each family, so that blocks nest, adjoin and coincide.
AddressKey drawKey(core::SeededRandom &random)
{
    const AddressKey ipv4 = (static_cast<AddressKey>(0xffffU) << 32U) | (random.next() & 0x3fffU);
    const AddressKey ipv6
            = (static_cast<AddressKey>(random.next() & 0xffU) << 114U) | (random.next() & 0xfU);
    return random.nextBelow(3) == 0 ? ipv6 : ipv4;
}

core::IpPrefix drawPrefix(core::SeededRandom &random)
{
    const AddressKey key = drawKey(random);
    const bool isIpv4 = toAddress(key).isIpv4();
    const std::uint64_t bits = isIpv4 ? 32 : 128;
    // Mostly long prefixes, with some of any length.
    const std::uint64_t length
            = random.nextBelow(16) == 0 ? random.nextBelow(bits + 1) : bits - random.nextBelow(8);
    return toPrefix(key, static_cast<unsigned>(isIpv4 ? 96 + length : length));
}

std::optional<std::uint32_t> referenceSite(const BlockMap &blocks, const core::IpAddress &address)
{
    for (unsigned length = 129; length-- > 0;) {
        const auto found = blocks.find(toPrefix(toKey(address), length));
        if (found != blocks.end())
            return found->second;
    }
    return std::nullopt;
}

Blocks toBlocks(const BlockMap &map)
{
    Blocks blocks;
    for (const auto &[prefix, site] : map)
        blocks.push_back({prefix, site});
    return blocks;
}

void changeSome(BlockMap &blocks, core::SeededRandom &random, std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        const core::IpPrefix prefix = drawPrefix(random);
        if (random.nextBelow(3) == 0 && !blocks.empty())
            blocks.erase(std::next(blocks.begin(),
                                   static_cast<std::ptrdiff_t>(random.nextBelow(blocks.size()))));
        else
            blocks[prefix] = static_cast<std::uint32_t>(random.nextBelow(150));
    }
}

void requireEqual(const ClientBlockTable &table, const BlockMap &blocks, core::SeededRandom &random)
{
    std::vector<AddressKey> probes;
    for (int index = 0; index < 50; ++index)
        probes.push_back(drawKey(random));
    for (int index = 0; index < 50 && !blocks.empty(); ++index) {
        // The boundaries of a block, where ranges begin and end.
        const core::IpPrefix &prefix
                = std::next(blocks.begin(),
                            static_cast<std::ptrdiff_t>(random.nextBelow(blocks.size())))
                          ->first;
        const AddressKey first = toKey(prefix.address);
        for (const AddressKey key : {first, first - 1, lastKey(prefix), lastKey(prefix) + 1})
            probes.push_back(key);
    }
    for (const AddressKey key : probes)
        RC_ASSERT(table.site(toAddress(key)) == referenceSite(blocks, toAddress(key)));
}

} // namespace

TEST_CASE("The longest matching block is found in tables of several chunks, also after changes")
{
    REQUIRE(rc::check("client blocks", [](std::uint64_t seed) {
        core::SeededRandom random(seed);
        BlockMap blocks;
        for (std::uint64_t count = random.nextBelow(12000); count > 0; --count)
            blocks[drawPrefix(random)] = static_cast<std::uint32_t>(random.nextBelow(150));
        Blocks before = toBlocks(blocks);
        ClientBlockTable table(before);
        requireEqual(table, blocks, random);
        for (int round = 0; round < 3; ++round) {
            changeSome(blocks, random, 1 + random.nextBelow(round == 2 ? 4000 : 20));
            const Blocks after = toBlocks(blocks);
            const auto changes = clientBlockChanges(before, after);
            table = changes ? table.withChanges(after, *changes) : ClientBlockTable(after);
            requireEqual(table, blocks, random);
            before = after;
        }
    }));
}

TEST_CASE("The site of the longest block is found")
{
    struct Row
    {
        const char *address;
        int site;
    };
    const auto row = GENERATE(values<Row>({
            {"9.255.255.255", 0},
            {"10.0.0.0", 1},
            {"10.1.2.255", 1},
            {"10.1.3.0", 2},
            {"10.1.3.7", 3},
            {"10.1.3.8", 2},
            {"10.1.4.0", 1},
            {"11.0.0.0", 0},
            {"255.255.255.255", 0},
            {"2001:db8::1", 4},
            {"2001:db8:0:1::", -1},
            {"ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", 5},
            {"::1", -1},
    }));
    const char *prefixes[] = {"0.0.0.0/0",   "10.0.0.0/8",    "10.1.3.0/24",
                              "10.1.3.7/32", "2001:db8::/64", "ffff::/16"};
    Blocks blocks;
    for (const char *prefix : prefixes)
        blocks.push_back(
                {*core::IpPrefix::parse(prefix), static_cast<std::uint32_t>(blocks.size())});
    // A full build accepts blocks in any order.
    std::reverse(blocks.begin(), blocks.end());
    const auto site = ClientBlockTable(blocks).site(*core::IpAddress::parse(row.address));
    REQUIRE((site ? static_cast<int>(*site) : -1) == row.site);
    REQUIRE_FALSE(ClientBlockTable().site(*core::IpAddress::parse(row.address)));
    REQUIRE_FALSE(ClientBlockTable(Blocks {}).site(*core::IpAddress::parse(row.address)));
}

TEST_CASE("A block that ends at the first address of the next chunk is found there after a change")
{
    const AddressKey ipv4 = static_cast<AddressKey>(0xffffU) << 32U;
    Blocks blocks;
    for (std::uint32_t index = 0; index < 2200; ++index)
        blocks.push_back({toPrefix(ipv4 + 4 * index, 128), 1});
    // A chunk ends after 1,024 blocks: here, between block 1023 and block 1024, which is the last
    // address of block 1023.
    const AddressKey first = ipv4 + 4 * 1023;
    blocks[1023] = {toPrefix(first, 127), 2};
    blocks[1024] = {toPrefix(first + 1, 128), 3};
    const ClientBlockTable table(blocks);
    REQUIRE(table.chunkCount() == 2);
    REQUIRE(table.site(toAddress(first + 1)) == 3U);
    const core::IpPrefix removed = blocks[1024].prefix;
    blocks.erase(blocks.begin() + 1024);
    REQUIRE(table.withChanges(blocks, {removed}).site(toAddress(first + 1)) == 2U);
}

TEST_CASE("An address far beyond the last block does not match the first one")
{
    const ClientBlockTable table(Blocks {{*core::IpPrefix::parse("10.0.0.0/8"), 1}});
    // The distance to the block, in units of its size, is 2^32: it must not be truncated to 32
    // bits.
    REQUIRE_FALSE(table.site(*core::IpAddress::parse("::100:ffff:a00:0")));
}

TEST_CASE("Changes are listed only for sorted lists with few changes")
{
    const Blocks one {{*core::IpPrefix::parse("10.0.0.0/8"), 1}};
    const Blocks other {{*core::IpPrefix::parse("10.0.0.0/8"), 2}};
    const Blocks longer {one[0], {*core::IpPrefix::parse("11.0.0.0/8"), 1}};
    const Blocks unsorted {longer[1], longer[0]};
    REQUIRE(clientBlockChanges(one, one)->empty());
    REQUIRE(clientBlockChanges(one, other)->size() == 1);
    REQUIRE(clientBlockChanges(one, longer)->front() == longer[1].prefix);
    REQUIRE(clientBlockChanges(longer, one)->front() == longer[1].prefix);
    REQUIRE_FALSE(clientBlockChanges(one, unsorted));
    REQUIRE_FALSE(clientBlockChanges(unsorted, unsorted));
    REQUIRE_FALSE(clientBlockChanges({}, longer));
}
