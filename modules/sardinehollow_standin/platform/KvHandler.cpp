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

const std::string callPrefix = "/sardinehollow/kv-";
// A waiting call looks this often whether the platform was stopped or cut.
constexpr std::chrono::milliseconds watchPoll {50};
// Small pages, so that tests with few keys meet more than one.
constexpr std::size_t pageItems = 50;

// First key behind all keys of a prefix.
std::string prefixEnd(std::string prefix)
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

std::int64_t lastNumber(const std::string &path)
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
    return path == callPrefix + "txn" || path == callPrefix + "lease";
}

} // namespace

KvHandler::KvHandler(PlatformState &state)
    : m_state(state)
    , m_gate(state)
{ }

bool KvHandler::serves(const std::string &target)
{
    return target.compare(0, callPrefix.size(), callPrefix) == 0;
}

void KvHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                              Poco::Net::HTTPServerResponse &response)
{
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    if (!m_gate.waitForTurn(request)) {
        closeConnection(request);
        return;
    }
    const Poco::URI target(request.getURI());
    const std::string path = target.getPath();
    Query query;
    for (const auto &[name, value] : target.getQueryParameters())
        query[name] = value;
    Answer answer {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, new Object};
    m_state.calls.count(path.substr(callPrefix.size()), "platform");
    if (!m_state.outage && !m_gate.admit(isWrite(path)))
        answer.status = HTTPResponse::HTTP_TOO_MANY_REQUESTS;
    else if (!m_state.outage)
        answer = serve(path, query, text);
    const bool isCut = m_state.stopping
            || m_state.silence->isSilent(request.clientAddress().toString())
            || (isWrite(path) && m_gate.takeLostReply());
    if (isCut) {
        closeConnection(request);
        return;
    }
    std::ostringstream body;
    answer.body->stringify(body);
    const std::string bytes = body.str();
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType("application/json");
    response.sendBuffer(bytes.data(), bytes.size());
}

KvHandler::Answer KvHandler::serve(const std::string &path, const Query &query,
                                   const std::string &text)
{
    const std::string call
            = path.substr(callPrefix.size(), path.find('/', callPrefix.size()) - callPrefix.size());
    if (call == "key")
        return readKey(query.at("key"));
    if (call == "range")
        return readPrefix(query);
    if (call == "watch")
        return watch(query);
    if (call == "keep")
        return keepLease(lastNumber(path));
    if (call == "lease-end") {
        m_state.store.revokeLease(lastNumber(path));
        return {HTTPResponse::HTTP_OK, new Object};
    }
    const auto body = Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
    if (call == "txn")
        return transact(*body);
    const auto lifetime = body->getValue<std::int64_t>("ttlS_time");
    return {HTTPResponse::HTTP_OK,
            leaseBody(m_state.store.grantLease(std::chrono::seconds(lifetime)), lifetime)};
}

KvHandler::Answer KvHandler::readKey(const std::string &key)
{
    const auto [entries, revision] = m_state.store.range(key, "");
    Object::Ptr body = entries.empty() ? Object::Ptr(new Object)
                                       : toItem(entries.front().first, entries.front().second);
    body->set("storeRevision", revision);
    return {entries.empty() ? HTTPResponse::HTTP_NOT_FOUND : HTTPResponse::HTTP_OK, body};
}

KvHandler::Answer KvHandler::readPrefix(const Query &query)
{
    const std::string prefix = query.at("prefix");
    const auto after = query.find("after");
    // A NUL behind the last key of a page makes the first key after it.
    const std::string from = after == query.end() ? prefix : after->second + std::string(1, '\0');
    const auto [entries, revision] = m_state.store.range(from, prefixEnd(prefix));
    Array::Ptr items = new Array;
    for (std::size_t index = 0; index < std::min(entries.size(), pageItems); ++index)
        items->add(toItem(entries[index].first, entries[index].second));
    Object::Ptr body = new Object;
    body->set("items", items);
    body->set("hasMore", entries.size() > pageItems);
    body->set("storeRevision", revision);
    return {HTTPResponse::HTTP_OK, body};
}

KvHandler::Answer KvHandler::watch(const Query &query)
{
    const std::string prefix = query.at("prefix");
    const std::int64_t after = Poco::NumberParser::parse64(query.at("after"));
    std::chrono::milliseconds left(Poco::NumberParser::parse(query.at("waitMs")));
    if (after + 1 < m_state.store.compactRevision())
        return {HTTPResponse::HTTP_GONE, new Object};
    std::vector<StoreEvent> events;
    while (events.empty() && left.count() > 0 && !m_state.stopping && !m_state.outage) {
        events = m_state.store.waitForEvents(prefix, prefixEnd(prefix), after + 1,
                                             std::min(left, watchPoll));
        left -= watchPoll;
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
    const bool succeeded = m_state.store.transact(conditions, operations);
    Object::Ptr answer = new Object;
    answer->set("revision", m_state.store.revision());
    return {succeeded ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_PRECONDITION_FAILED, answer};
}

KvHandler::Answer KvHandler::keepLease(std::int64_t id)
{
    const std::int64_t lifetime = m_state.store.keepAliveLease(id);
    if (lifetime == 0)
        return {HTTPResponse::HTTP_NOT_FOUND, new Object};
    return {HTTPResponse::HTTP_OK, leaseBody(0, lifetime)};
}

} // namespace sardinehollow::standin
