// Closed-loop HTTP load generator for scripts/benchmark-forwarding: each connection sends its next
// request when the response to the last one is complete.
// Usage: sardinehollow-forwarding-load ADDRESS PATH CONNECTIONS SECONDS
// Prints {requests, failures, seconds, requestsPerSecond, p50Us, p99Us, bytes} as JSON.

#include "sardinehollow_core/http/HttpBodyReader.h"
#include "sardinehollow_core/http/HttpConnection.h"

#include <algorithm>
#include <iostream>
#include <thread>
#include <vector>

namespace {

using namespace sardinehollow;
using Clock = std::chrono::steady_clock;

constexpr std::size_t readBytes = 64 * 1024;
constexpr std::chrono::seconds timeout {120};

struct LoadResult
{
    std::vector<double> latenciesUs;
    std::uint64_t failures = 0;
    std::uint64_t bytes = 0;
};

/** Sends a request and reads its response; returns whether the connection can be reused. */
bool exchange(core::HttpConnection &connection, const Poco::Net::HTTPRequest &request,
              LoadResult &result)
{
    std::vector<char> buffer(readBytes);
    const auto start = Clock::now();
    connection.sendHead(request);
    Poco::Net::HTTPResponse response;
    connection.receiveHead(response);
    core::HttpBodyReader reader(connection, core::framingOf(response, request.getMethod()));
    while (!reader.isAtEnd())
        result.bytes += reader.read(buffer.data(), buffer.size());
    const std::chrono::duration<double, std::micro> elapsed = Clock::now() - start;
    if (!reader.isComplete() || response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
        ++result.failures;
    else
        result.latenciesUs.push_back(elapsed.count());
    return response.getKeepAlive();
}

void runConnection(const std::string &address, const std::string &path, Clock::time_point end,
                   LoadResult &result)
{
    Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setHost(address);
    while (Clock::now() < end) {
        try {
            core::HttpConnection connection(Poco::Net::SocketAddress(address), timeout);
            connection.setTimeouts(timeout);
            while (Clock::now() < end && exchange(connection, request, result))
                continue;
        } catch (const Poco::Exception &) {
            ++result.failures;
        }
    }
}

double quantile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty())
        return 0.0;
    return sorted.at(static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1)));
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 5) {
        std::cerr << "usage: sardinehollow-forwarding-load ADDRESS PATH CONNECTIONS SECONDS\n";
        return 2;
    }
    const std::string address = arguments[1];
    const std::string path = arguments[2];
    std::vector<LoadResult> results(static_cast<std::size_t>(std::stoi(arguments[3])));
    const auto start = Clock::now();
    const auto end = start
            + std::chrono::duration_cast<Clock::duration>(
                             std::chrono::duration<double>(std::stod(arguments[4])));
    std::vector<std::thread> threads;
    for (LoadResult &result : results)
        threads.emplace_back([&, end] { runConnection(address, path, end, result); });
    for (std::thread &thread : threads)
        thread.join();
    const std::chrono::duration<double> seconds = Clock::now() - start;
    LoadResult total;
    for (const LoadResult &result : results) {
        total.latenciesUs.insert(total.latenciesUs.end(), result.latenciesUs.begin(),
                                 result.latenciesUs.end());
        total.failures += result.failures;
        total.bytes += result.bytes;
    }
    std::sort(total.latenciesUs.begin(), total.latenciesUs.end());
    const auto requests = static_cast<double>(total.latenciesUs.size());
    std::cout << "{\"requests\": " << total.latenciesUs.size()
              << ", \"failures\": " << total.failures << ", \"seconds\": " << seconds.count()
              << ", \"requestsPerSecond\": " << requests / seconds.count()
              << ", \"p50Us\": " << quantile(total.latenciesUs, 0.5)
              << ", \"p99Us\": " << quantile(total.latenciesUs, 0.99)
              << ", \"bytes\": " << total.bytes << "}\n";
    return 0;
}
