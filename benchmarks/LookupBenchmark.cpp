#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_policy/lookup/ClientBlockTable.h"

#include <benchmark/benchmark.h>

namespace {

using namespace sardinehollow;

constexpr std::uint32_t blockCount = 1'100'000;
constexpr std::uint32_t siteCount = 150;

core::IpAddress ipv4(std::uint32_t value)
{
    std::array<std::uint8_t, 16> bytes {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
    for (std::size_t index = 0; index < 4; ++index)
        bytes[12 + index] = static_cast<std::uint8_t>(value >> (24U - 8U * index));
    return core::IpAddress(bytes);
}

// Adjacent /24 blocks, as many as the largest table of client blocks in the design.
std::vector<config::ClientBlock> makeBlocks()
{
    std::vector<config::ClientBlock> blocks;
    for (std::uint32_t index = 0; index < blockCount; ++index)
        blocks.push_back({{ipv4(index << 8U), 120}, index % siteCount});
    return blocks;
}

void lookUpClientBlock(benchmark::State &state)
{
    const policy::ClientBlockTable table(makeBlocks());
    core::SeededRandom random(1);
    std::vector<core::IpAddress> callers;
    for (int index = 0; index < 65536; ++index)
        callers.push_back(ipv4(static_cast<std::uint32_t>(random.nextBelow(blockCount)) << 8U));
    std::size_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(table.site(callers[next++ % callers.size()]));
}

BENCHMARK(lookUpClientBlock);

} // namespace

BENCHMARK_MAIN();
