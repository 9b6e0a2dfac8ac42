#include "sardinehollow_network/http/BodyDecoder.h"
#include "sardinehollow_network/http/HeadReader.h"
#include "sardinehollow_network/http/MessageWriter.h"

#include <benchmark/benchmark.h>

namespace {

using namespace sardinehollow;

constexpr std::size_t limit = 64 * 1024;

std::string repeated(std::string_view part, std::size_t bytes)
{
    std::string text;
    while (text.size() + part.size() <= bytes)
        text += part;
    return text;
}

// A head of nearly the largest size, with the given number of fields.
void readHead(benchmark::State &state)
{
    const auto fields = static_cast<std::size_t>(state.range(0));
    const std::string field = "a:" + std::string((limit - 100) / fields - 4, 'x') + "\r\n";
    const std::string text
            = "HTTP/1.1 200 OK\r\n" + repeated(field, field.size() * fields) + "\r\n";
    for (auto _ : state) {
        std::string buffer = text;
        Poco::Net::HTTPResponse response;
        benchmark::DoNotOptimize(network::HeadReader().read(buffer, limit, response));
    }
}

// A head that arrives in parts of four bytes.
void readHeadInParts(benchmark::State &state)
{
    const std::string text = "HTTP/1.1 200 OK\r\n" + repeated("a:\r\n", limit / 2);
    for (auto _ : state) {
        network::HeadReader reader;
        Poco::Net::HTTPResponse response;
        std::string buffer;
        for (std::size_t position = 0; position < text.size(); position += 4) {
            buffer.append(text, position, 4);
            benchmark::DoNotOptimize(reader.read(buffer, limit, response));
        }
    }
}

void readEmptyLines(benchmark::State &state)
{
    const std::string text = repeated("\r\n", limit);
    for (auto _ : state) {
        std::string buffer = text;
        Poco::Net::HTTPResponse response;
        benchmark::DoNotOptimize(network::HeadReader().read(buffer, limit, response));
    }
}

void decodeSmallChunks(benchmark::State &state)
{
    const std::string text = repeated("1\r\nx\r\n", limit);
    for (auto _ : state) {
        network::BodyDecoder decoder({core::HttpBodyFraming::Kind::Chunked, 0});
        std::string buffer = text;
        std::string body;
        benchmark::DoNotOptimize(decoder.decode(buffer, body));
    }
}

// A Connection field that names many options.
void removeNamedFields(benchmark::State &state)
{
    Poco::Net::HTTPResponse response;
    for (std::size_t field = 0; field < network::maxHeadFields / 2; ++field)
        response.add("X-" + std::to_string(field), "x");
    response.set("Connection", repeated("b,", limit));
    for (auto _ : state) {
        Poco::Net::HTTPResponse copy = response;
        network::removeHopByHopFields(copy);
    }
}

BENCHMARK(readHead)->Arg(1)->Arg(100)->Arg(256)->Arg(4000)->Arg(16000)->Unit(
        benchmark::kMicrosecond);
BENCHMARK(readHeadInParts)->Unit(benchmark::kMicrosecond);
BENCHMARK(readEmptyLines)->Unit(benchmark::kMicrosecond);
BENCHMARK(decodeSmallChunks)->Unit(benchmark::kMicrosecond);
BENCHMARK(removeNamedFields)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
