#include "sardinehollow_standin/platform/KvHandler.h"

#include "sardinehollow_core/encoding/Base64.h"
#include "sardinehollow_standin/server/CallerSocket.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>

namespace sardinehollow::standin {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPResponse;

const std::string pathPrefix = "/sardinehollow/kv-";
// Interval at which a long poll checks whether the platform stops or has an outage.
constexpr std::chrono::milliseconds watchPollInterval {50};
// Small pages, so that tests with few keys cover paging.
constexpr std::size_t maxPageItems = 50;

// Exclusive end of the range of all keys with a prefix; a single NUL stands for no upper bound.
std::string prefixRangeEnd(std::string prefix)
{
    if (prefix.empty())
        return std::string(1, '\0');
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

Object::Ptr toItem(const std::string &key, const StoredValue &stored)
{
    Object::Ptr item = new Object;
    item->set("key", key);
    item->set("value", core::toBase64(stored.value));
    item->set("revision", stored.modRevision);
    item->set("createRevision", stored.createRevision);
    item->set("lease", stored.lease);
    return item;
}

Object::Ptr toItem(const StoreEvent &event)
{
    if (!event.deleted)
        return toItem(event.key, event.stored);
    Object::Ptr item = new Object;
    item->set("key", event.key);
    item->set("revision", event.stored.modRevision);
    item->set("tombstone", true);
    return item;
}

std::int64_t leaseIdFromPath(const std::string &path)
{
    return Poco::NumberParser::parse64(path.substr(path.rfind('/') + 1));
}

Object::Ptr leaseBody(std::int64_t id, std::int64_t lifetime)
{
    Object::Ptr body = new Object;
    if (id != 0)
        body->set("lease", id);
    body->set("ttlS_time", lifetime);
    return body;
}

bool isWrite(const std::string &path)
{
    return path == pathPrefix + "txn" || path == pathPrefix + "lease";
}

} // namespace

KvHandler::KvHandler(PlatformState &platform)
    : m_platform(platform)
    , m_gate(platform)
{ }

bool KvHandler::serves(const std::string &target)
{
    return target.compare(0, pathPrefix.size(), pathPrefix) == 0;
}

void KvHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                              Poco::Net::HTTPServerResponse &response)
{
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    if (!m_gate.waitWhileDelayedOrSilent(request)) {
        closeConnection(request);
        return;
    }
    const Poco::URI target(request.getURI());
    const std::string path = target.getPath();
    Query query;
    for (const auto &[name, value] : target.getQueryParameters())
        query[name] = value;
    Answer answer {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, new Object};
    m_platform.calls.count(path.substr(pathPrefix.size()), "platform");
    if (!m_platform.outage && !m_gate.admit(isWrite(path)))
        answer.status = HTTPResponse::HTTP_TOO_MANY_REQUESTS;
    else if (!m_platform.outage)
        answer = dispatch(path, query, text);
    const bool closesUnanswered = m_platform.stopping
            || m_platform.silentConnections->isSilent(request.clientAddress().toString())
            || (isWrite(path) && m_gate.consumeLostReply());
    if (closesUnanswered) {
        closeConnection(request);
        return;
    }
    std::ostringstream body;
    answer.body->stringify(body);
    const std::string bytes = body.str();
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType("application/json");
    response.set("Store-Era", std::to_string(m_platform.store.restoreCount()));
    response.sendBuffer(bytes.data(), bytes.size());
}

KvHandler::Answer KvHandler::dispatch(const std::string &path, const Query &query,
                                      const std::string &text)
{
    const std::string call
            = path.substr(pathPrefix.size(), path.find('/', pathPrefix.size()) - pathPrefix.size());
    if (call == "key")
        return readKey(query.at("key"));
    if (call == "range")
        return readPrefix(query);
    if (call == "watch")
        return watch(query);
    if (call == "keep")
        return keepAliveLease(leaseIdFromPath(path));
    if (call == "lease-end") {
        m_platform.store.revokeLease(leaseIdFromPath(path));
        return {HTTPResponse::HTTP_OK, new Object};
    }
    const auto body = Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
    if (call == "txn")
        return transact(*body);
    const auto lifetime = body->getValue<std::int64_t>("ttlS_time");
    return {HTTPResponse::HTTP_OK,
            leaseBody(m_platform.store.grantLease(std::chrono::seconds(lifetime)), lifetime)};
}

KvHandler::Answer KvHandler::readKey(const std::string &key)
{
    const auto [entries, revision] = m_platform.store.range(key, "");
    Object::Ptr body = entries.empty() ? Object::Ptr(new Object)
                                       : toItem(entries.front().first, entries.front().second);
    body->set("storeRevision", revision);
    return {entries.empty() ? HTTPResponse::HTTP_NOT_FOUND : HTTPResponse::HTTP_OK, body};
}

KvHandler::Answer KvHandler::readPrefix(const Query &query)
{
    const std::string prefix = query.at("prefix");
    const auto after = query.find("after");
    // Appending a NUL to the last key of a page gives the smallest key after it.
    const std::string from = after == query.end() ? prefix : after->second + std::string(1, '\0');
    const auto [entries, revision] = m_platform.store.range(from, prefixRangeEnd(prefix));
    Array::Ptr items = new Array;
    for (std::size_t index = 0; index < std::min(entries.size(), maxPageItems); ++index)
        items->add(toItem(entries[index].first, entries[index].second));
    Object::Ptr body = new Object;
    body->set("items", items);
    body->set("hasMore", entries.size() > maxPageItems);
    body->set("storeRevision", revision);
    return {HTTPResponse::HTTP_OK, body};
}

KvHandler::Answer KvHandler::watch(const Query &query)
{
    const std::string prefix = query.at("prefix");
    const std::int64_t after = Poco::NumberParser::parse64(query.at("after"));
    std::chrono::milliseconds remainingWait(Poco::NumberParser::parse(query.at("waitMs")));
    const bool isUnknown = after > m_platform.store.revision();
    if (isUnknown || after + 1 < m_platform.store.compactRevision())
        return {HTTPResponse::HTTP_GONE, new Object};
    std::vector<StoreEvent> events;
    while (events.empty() && remainingWait.count() > 0 && !m_platform.stopping
           && !m_platform.outage) {
        events = m_platform.store.waitForEvents(prefix, prefixRangeEnd(prefix), after + 1,
                                                std::min(remainingWait, watchPollInterval));
        remainingWait -= watchPollInterval;
    }
    Array::Ptr items = new Array;
    std::int64_t revision = after;
    for (const StoreEvent &event : events) {
        items->add(toItem(event));
        revision = std::max(revision, event.stored.modRevision);
    }
    Object::Ptr body = new Object;
    body->set("events", items);
    body->set("storeRevision", revision);
    return {HTTPResponse::HTTP_OK, body};
}

KvHandler::Answer KvHandler::transact(const Object &body)
{
    std::vector<MemoryStore::Condition> conditions;
    const Array::Ptr expect = body.getArray("expect");
    for (unsigned index = 0; !expect.isNull() && index < expect->size(); ++index) {
        const Object::Ptr row = expect->getObject(index);
        conditions.push_back(
                {row->getValue<std::string>("key"), row->getValue<std::int64_t>("revision")});
    }
    std::vector<MemoryStore::Operation> operations;
    const Array::Ptr puts = body.getArray("puts");
    for (unsigned index = 0; !puts.isNull() && index < puts->size(); ++index) {
        const Object::Ptr row = puts->getObject(index);
        operations.push_back({row->getValue<std::string>("key"),
                              core::fromBase64(row->getValue<std::string>("value")),
                              row->optValue<std::int64_t>("lease", 0)});
    }
    const Array::Ptr deletes = body.getArray("deletes");
    for (unsigned index = 0; !deletes.isNull() && index < deletes->size(); ++index)
        operations.push_back({deletes->getElement<std::string>(index), std::nullopt, 0});
    const bool succeeded = m_platform.store.transact(conditions, operations);
    Object::Ptr answer = new Object;
    answer->set("revision", m_platform.store.revision());
    return {succeeded ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_PRECONDITION_FAILED, answer};
}

KvHandler::Answer KvHandler::keepAliveLease(std::int64_t id)
{
    const std::int64_t lifetime = m_platform.store.keepAliveLease(id);
    if (lifetime == 0)
        return {HTTPResponse::HTTP_NOT_FOUND, new Object};
    return {HTTPResponse::HTTP_OK, leaseBody(0, lifetime)};
}

} // namespace sardinehollow::standin
