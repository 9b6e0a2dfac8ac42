#include "sardinehollow_standin/platform/EtcdHandler.h"

#include "sardinehollow_core/encoding/Base64.h"
#include "sardinehollow_standin/server/CallerSocket.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/StringTokenizer.h>

#include <sstream>
#include <thread>

namespace sardinehollow::standin {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

using Poco::Net::HTTPResponse;

constexpr std::chrono::milliseconds watchPoll {100};
constexpr std::chrono::milliseconds silencePoll {10};

std::string decode(const Object &object, const std::string &field)
{
    return core::fromBase64(object.optValue<std::string>(field, ""));
}

std::int64_t integer(const Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = object.get(field);
    return value.isEmpty() ? 0 : value.convert<std::int64_t>();
}

Object::Ptr withHeader(std::int64_t revision)
{
    Object::Ptr header = new Object;
    header->set("revision", std::to_string(revision));
    Object::Ptr reply = new Object;
    reply->set("header", header);
    return reply;
}

Object::Ptr toObject(const std::string &key, const StoredValue &stored)
{
    Object::Ptr object = new Object;
    object->set("key", core::toBase64(key));
    object->set("value", core::toBase64(stored.value));
    object->set("create_revision", std::to_string(stored.createRevision));
    object->set("mod_revision", std::to_string(stored.modRevision));
    object->set("version", std::to_string(stored.version));
    if (stored.lease != 0)
        object->set("lease", std::to_string(stored.lease));
    return object;
}

MemoryStore::Operation toOperation(const Object &operation)
{
    if (const Object::Ptr put = operation.getObject("request_put"))
        return {decode(*put, "key"), decode(*put, "value"), integer(*put, "lease")};
    const Object::Ptr drop = operation.getObject("request_delete_range");
    return {decode(*drop, "key"), std::nullopt, 0};
}

void sendJson(Poco::Net::HTTPServerResponse &response, const Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    response.setContentType("application/json");
    const std::string body = text.str();
    response.sendBuffer(body.data(), body.size());
}

void refuse(Poco::Net::HTTPServerResponse &response, HTTPResponse::HTTPStatus status,
            const std::string &message)
{
    response.setStatusAndReason(status);
    response.sendBuffer(message.data(), message.size());
}

std::string kindOf(const std::string &path)
{
    const std::string prefix = "/v3/";
    return path.rfind(prefix, 0) == 0 ? path.substr(prefix.size()) : path;
}

// Key that a call is about: its own, or the first one that a transaction names.
std::string keyOf(const Object &body)
{
    if (body.has("key"))
        return decode(body, "key");
    if (const Object::Ptr create = body.getObject("create_request"))
        return decode(*create, "key");
    const Array::Ptr compare = body.getArray("compare");
    if (!compare.isNull() && compare->size() > 0)
        return decode(*compare->getObject(0), "key");
    const Array::Ptr success = body.getArray("success");
    if (!success.isNull() && success->size() > 0)
        return toOperation(*success->getObject(0)).key;
    return {};
}

// Keys are "sardinehollow/DEPLOYMENT/PURPOSE/...".
std::string purposeOf(const std::string &key)
{
    const Poco::StringTokenizer parts(key, "/");
    constexpr std::size_t purposePart = 2;
    return parts.count() > purposePart ? parts[purposePart] : "none";
}

bool writes(const std::string &path, const Object &body)
{
    if (path == "/v3/kv/txn") {
        const Array::Ptr success = body.getArray("success");
        return !success.isNull() && success->size() > 0;
    }
    return path != "/v3/kv/range" && path != "/v3/watch";
}

Object::Ptr toMessage(std::int64_t revision, const std::vector<StoreEvent> &events)
{
    Object::Ptr result = withHeader(revision);
    Array::Ptr items = new Array;
    for (const StoreEvent &event : events) {
        Object::Ptr item = new Object;
        item->set("type", event.deleted ? "DELETE" : "PUT");
        item->set("kv", toObject(event.key, event.stored));
        items->add(item);
    }
    result->set("events", items);
    return result;
}

Object::Ptr cancelled(std::int64_t revision, std::int64_t compactRevision)
{
    Object::Ptr result = withHeader(revision);
    result->set("canceled", true);
    result->set("compact_revision", std::to_string(compactRevision));
    return result;
}

void sendMessage(std::ostream &output, const Object::Ptr &result)
{
    Object message;
    message.set("result", result);
    message.stringify(output);
    output << "\n" << std::flush;
}

} // namespace

EtcdHandler::EtcdHandler(PlatformState &state)
    : m_state(state)
    , m_gate(state)
{ }

void EtcdHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                Poco::Net::HTTPServerResponse &response)
{
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    if (!m_gate.waitForTurn(request)) {
        closeConnection(request);
        return;
    }
    if (m_state.outage) {
        refuse(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the platform is down");
        return;
    }
    try {
        serve(request, response, text);
    } catch (const Poco::Exception &exception) {
        refuse(response, HTTPResponse::HTTP_BAD_REQUEST, exception.displayText());
    }
}

void EtcdHandler::serve(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response, const std::string &text)
{
    const std::string &path = request.getURI();
    if (path == "/v1/vms") {
        m_state.calls.count("vms", "vm-list");
        Object object;
        object.set("vms", m_state.vms.list());
        sendJson(response, object);
        return;
    }
    Poco::JSON::Parser parser;
    const auto body = parser.parse(text).extract<Object::Ptr>();
    m_state.calls.count(kindOf(path), purposeOf(keyOf(*body)));
    const bool isWrite = writes(path, *body);
    if (!m_gate.admit(isWrite)) {
        refuse(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "too many requests");
        return;
    }
    if (path == "/v3/watch") {
        watch(*body->getObject("create_request"), request, response);
        return;
    }
    const Object::Ptr reply = answer(path, *body);
    if (isWrite && m_gate.takeLostReply()) {
        closeConnection(request);
        return;
    }
    sendJson(response, *reply);
}

void EtcdHandler::checkSize(const std::string &value) const
{
    if (value.size() > m_state.maxValueBytes)
        throw Poco::InvalidArgumentException("the value is too large");
}

Object::Ptr EtcdHandler::answer(const std::string &path, const Object &body)
{
    if (path == "/v3/kv/range")
        return range(body);
    if (path == "/v3/kv/txn")
        return transact(body);
    if (path == "/v3/kv/put") {
        checkSize(decode(body, "value"));
        m_state.store.transact(
                {}, {{decode(body, "key"), decode(body, "value"), integer(body, "lease")}});
        return withHeader(m_state.store.revision());
    }
    Object::Ptr reply = withHeader(m_state.store.revision());
    if (path == "/v3/lease/grant") {
        const std::int64_t lifetime = integer(body, "TTL");
        reply->set("ID", std::to_string(m_state.store.grantLease(std::chrono::seconds(lifetime))));
        reply->set("TTL", std::to_string(lifetime));
    } else if (path == "/v3/lease/keepalive") {
        Object::Ptr result = new Object;
        result->set("ID", std::to_string(integer(body, "ID")));
        result->set("TTL", std::to_string(m_state.store.keepAliveLease(integer(body, "ID"))));
        reply->set("result", result);
    } else if (path == "/v3/lease/revoke") {
        m_state.store.revokeLease(integer(body, "ID"));
    } else {
        throw Poco::NotFoundException(path);
    }
    return reply;
}

Object::Ptr EtcdHandler::range(const Object &body)
{
    const MemoryStore::Range found
            = m_state.store.range(decode(body, "key"), decode(body, "range_end"));
    Array::Ptr entries = new Array;
    for (const auto &[key, stored] : found.entries)
        entries->add(toObject(key, stored));
    Object::Ptr reply = withHeader(found.revision);
    reply->set("kvs", entries);
    reply->set("count", std::to_string(entries->size()));
    return reply;
}

Object::Ptr EtcdHandler::transact(const Object &body)
{
    std::vector<MemoryStore::Condition> conditions;
    const Array::Ptr compare = body.getArray("compare");
    for (std::size_t index = 0; !compare.isNull() && index < compare->size(); ++index) {
        const Object::Ptr item = compare->getObject(static_cast<unsigned>(index));
        conditions.push_back({decode(*item, "key"), integer(*item, "mod_revision")});
    }
    std::vector<MemoryStore::Operation> operations;
    const Array::Ptr success = body.getArray("success");
    for (std::size_t index = 0; !success.isNull() && index < success->size(); ++index)
        operations.push_back(toOperation(*success->getObject(static_cast<unsigned>(index))));
    for (const MemoryStore::Operation &operation : operations)
        checkSize(operation.value.value_or(""));
    const bool succeeded = m_state.store.transact(conditions, operations);
    Object::Ptr reply = withHeader(m_state.store.revision());
    reply->set("succeeded", succeeded);
    return reply;
}

void EtcdHandler::watch(const Object &body, Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response)
{
    const std::string connection = request.clientAddress().toString();
    const std::string key = decode(body, "key");
    const std::string end = decode(body, "range_end");
    std::int64_t from = integer(body, "start_revision");
    response.setChunkedTransferEncoding(true);
    std::ostream &output = response.send();
    const std::int64_t compacted = m_state.store.compactRevision();
    if (from != 0 && from < compacted) {
        sendMessage(output, cancelled(m_state.store.revision(), compacted));
        return;
    }
    auto lastMessage = std::chrono::steady_clock::time_point();
    while (!m_state.stopping && !m_state.outage && output.good() && !hasLeft(request)) {
        if (m_state.silence->isSilent(connection)) {
            std::this_thread::sleep_for(silencePoll);
            continue;
        }
        // All changes up to here have been sent if none comes: a client goes on from this revision.
        const std::int64_t reached = m_state.store.revision();
        const std::vector<StoreEvent> events
                = m_state.store.waitForEvents(key, end, from, watchPoll);
        const auto now = std::chrono::steady_clock::now();
        if (m_state.silence->isSilent(connection)
            || (events.empty() && now - lastMessage < m_state.progressInterval))
            continue;
        lastMessage = now;
        if (!events.empty())
            from = events.back().stored.modRevision + 1;
        sendMessage(output,
                    toMessage(events.empty() ? reached : events.back().stored.modRevision, events));
    }
    if (m_state.outage)
        closeConnection(request);
}

} // namespace sardinehollow::standin
