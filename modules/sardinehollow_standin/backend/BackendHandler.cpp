#include "sardinehollow_standin/backend/BackendHandler.h"

#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_standin/content/Content.h"
#include "sardinehollow_standin/server/CallerSocket.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NullStream.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <optional>
#include <sstream>
#include <thread>

namespace sardinehollow::standin {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::uint64_t defaultResponseBytes = 256;
constexpr std::size_t writeBlockBytes = 64 * 1024;
// Interval between checks whether the caller has disconnected; short compared with the service
// times in use.
constexpr std::chrono::milliseconds disconnectPollInterval {5};

std::string queryValue(const std::string &uri, const std::string &wanted)
{
    for (const auto &[name, value] : Poco::URI(uri).getQueryParameters()) {
        if (name == wanted)
            return value;
    }
    return {};
}

std::uint64_t requestedBytes(const std::string &uri)
{
    Poco::UInt64 bytes = 0;
    if (Poco::NumberParser::tryParseUnsigned64(queryValue(uri, "bytes"), bytes))
        return bytes;
    return defaultResponseBytes;
}

std::string contentIdentity(const HTTPRequest &request)
{
    // A HEAD request addresses the same content as GET.
    const std::string &method = request.getMethod() == HTTPRequest::HTTP_HEAD
            ? HTTPRequest::HTTP_GET
            : request.getMethod();
    return method + " " + request.getURI() + " " + request.get("Idempotency-Key", "");
}

std::string entityTag(const std::string &identity)
{
    return "\"" + Poco::NumberFormatter::formatHex(core::stableHash(identity)) + "\"";
}

// Releases the slot on every path out of a handler.
class SlotGuard
{
public:
    explicit SlotGuard(SimulatedBackend &backend)
        : m_backend(backend)
    { }
    ~SlotGuard() { m_backend.releaseSlot(); }

    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

private:
    SimulatedBackend &m_backend;
};

} // namespace

BackendHandler::BackendHandler(SimulatedBackend &backend)
    : m_backend(backend)
{ }

void BackendHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                   Poco::Net::HTTPServerResponse &response)
{
    if (m_backend.listener->isRefusing()) {
        closeConnection(request);
        return;
    }
    const std::string connection = request.clientAddress().toString();
    SilentConnections &silentConnections = m_backend.listener->silentConnections();
    silentConnections.recordConnection(connection);
    while (silentConnections.isSilent(connection) && !m_backend.stopping
           && !isCallerDisconnected(request))
        std::this_thread::sleep_for(disconnectPollInterval);
    if (silentConnections.isSilent(connection)) {
        closeConnection(request);
        return;
    }
    if (request.getURI() == "/load") {
        sendLoad(response);
        return;
    }
    handleWorkRequest(request, response);
}

void BackendHandler::handleWorkRequest(Poco::Net::HTTPServerRequest &request,
                                       Poco::Net::HTTPServerResponse &response)
{
    ++m_backend.requests;
    if (m_backend.isPastLeavingGracePeriod())
        ++m_backend.requestsAfterLeaving;
    const bool hasFreeSlot = m_backend.acquireSlot();
    const SlotGuard guard(m_backend);
    Poco::NullOutputStream sink;
    Poco::StreamCopier::copyStream(request.stream(), sink);
    if (!hasFreeSlot)
        ++m_backend.shedOverSlots;
    if (!hasFreeSlot || m_backend.shed) {
        sendShedResponse(response);
        return;
    }
    if (request.has("Idempotency-Key"))
        m_backend.runCounter.record(request.get("Idempotency-Key"));
    if (request.has("Crash")) {
        m_backend.crash(m_backend.settings.crash);
        closeConnection(request);
        return;
    }
    if (simulateRun(request, response))
        sendResponse(request, response);
}

void BackendHandler::sendLoad(Poco::Net::HTTPServerResponse &response)
{
    Poco::JSON::Object object;
    object.set("inFlight", m_backend.reportedInFlight());
    object.set("slots", m_backend.settings.slots);
    object.set("leaving", m_backend.leaving.load());
    std::ostringstream text;
    object.stringify(text);
    response.setContentType("application/json");
    response.sendBuffer(text.str().data(), text.str().size());
}

void BackendHandler::setLoadHeaders(Poco::Net::HTTPServerResponse &response)
{
    response.set("Sardinehollow-Load",
                 std::to_string(m_backend.reportedInFlight()) + "/"
                         + std::to_string(m_backend.settings.slots));
    if (m_backend.leaving)
        response.set("Sardinehollow-Leaving", "1");
}

void BackendHandler::sendShedResponse(Poco::Net::HTTPServerResponse &response)
{
    ++m_backend.shedRequests;
    response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    response.set("Sardinehollow-Not-Run", "1");
    setLoadHeaders(response);
    response.setContentLength(0);
    response.send();
}

bool BackendHandler::simulateRun(Poco::Net::HTTPServerRequest &request,
                                 Poco::Net::HTTPServerResponse &response)
{
    const core::Instant start = m_backend.clock.now();
    const core::Instant end = start + m_backend.serviceTime(request.getURI());
    Poco::Int64 milliseconds = 0;
    std::optional<core::Instant> deadline;
    if (Poco::NumberParser::tryParse64(request.get("Sardinehollow-Deadline-Ms", ""), milliseconds))
        deadline = start + std::chrono::milliseconds(milliseconds);
    const bool missesDeadline = deadline && *deadline < end;
    if (!waitUntil(missesDeadline ? *deadline : end, request)) {
        ++m_backend.cancelledRuns;
        closeConnection(request);
        return false;
    }
    if (missesDeadline) {
        ++m_backend.deadlinesPassed;
        response.setStatusAndReason(HTTPResponse::HTTP_GATEWAY_TIMEOUT);
        setLoadHeaders(response);
        response.setContentLength(0);
        response.send();
        return false;
    }
    const std::chrono::milliseconds delay(m_backend.answerDelayMilliseconds.load());
    return waitUntil(m_backend.clock.now() + delay, request);
}

bool BackendHandler::waitUntil(core::Instant end, Poco::Net::HTTPServerRequest &request) const
{
    while (m_backend.clock.now() < end) {
        if (m_backend.stopping || isCallerDisconnected(request))
            return false;
        std::this_thread::sleep_for(
                std::min<core::Duration>(disconnectPollInterval, end - m_backend.clock.now()));
    }
    return true;
}

void BackendHandler::sendResponse(Poco::Net::HTTPServerRequest &request,
                                  Poco::Net::HTTPServerResponse &response)
{
    const std::string tag = entityTag(contentIdentity(request));
    const bool download = request.getMethod() == HTTPRequest::HTTP_GET
            || request.getMethod() == HTTPRequest::HTTP_HEAD;
    ByteRange range {0, requestedBytes(request.getURI())};
    response.setContentType("application/octet-stream");
    setLoadHeaders(response);
    if (download) {
        response.set("ETag", tag);
        response.set("Accept-Ranges", "bytes");
        if (request.get("If-None-Match", "") == tag) {
            response.setStatusAndReason(HTTPResponse::HTTP_NOT_MODIFIED);
            response.send();
            return;
        }
    }
    const bool ranged = download && request.has("Range") && request.get("If-Range", tag) == tag;
    if (ranged) {
        const std::uint64_t size = range.length;
        const std::optional<ByteRange> part = parseRange(request.get("Range"), size);
        if (!part) {
            response.setStatusAndReason(HTTPResponse::HTTP_REQUESTED_RANGE_NOT_SATISFIABLE);
            response.set("Content-Range", "bytes */" + std::to_string(size));
            response.setContentLength(0);
            response.send();
            return;
        }
        range = *part;
        response.setStatusAndReason(HTTPResponse::HTTP_PARTIAL_CONTENT);
        response.set("Content-Range",
                     "bytes " + std::to_string(range.first) + "-"
                             + std::to_string(range.first + range.length - 1) + "/"
                             + std::to_string(size));
    }
    sendBody(request, response, range);
}

void BackendHandler::sendBody(Poco::Net::HTTPServerRequest &request,
                              Poco::Net::HTTPServerResponse &response, const ByteRange &range)
{
    const std::string identity = contentIdentity(request);
    if (queryValue(request.getURI(), "chunked") == "1")
        response.setChunkedTransferEncoding(true);
    else
        response.setContentLength64(static_cast<Poco::Int64>(range.length));
    std::ostream &output = response.send();
    if (request.getMethod() == HTTPRequest::HTTP_HEAD)
        return;
    const std::int64_t cut = m_backend.cutBodyAfterBytes;
    const std::uint64_t sent
            = cut < 0 ? range.length : std::min(range.length, static_cast<std::uint64_t>(cut));
    for (std::uint64_t offset = 0; offset < sent && output.good(); offset += writeBlockBytes) {
        const std::uint64_t length = std::min<std::uint64_t>(writeBlockBytes, sent - offset);
        output << contentFor(identity, range.first + offset, length);
    }
    if (sent < range.length) {
        output.flush();
        closeConnection(request);
    }
}

} // namespace sardinehollow::standin
