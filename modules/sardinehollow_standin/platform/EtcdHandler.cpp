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

constexpr std::chrono::milliseconds watchPollInterval {100};
constexpr std::chrono::milliseconds silencePollInterval {10};

std::string decode(const Object &object, const std::string &field)
{
    return core::fromBase64(object.optValue<std::string>(field, ""));
}

std::int64_t integer(const Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = object.get(field);
    return value.isEmpty() ? 0 : value.convert<std::int64_t>();
}

Object::Ptr makeReply(std::int64_t revision)
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
    const Object::Ptr deletion = operation.getObject("request_delete_range");
    return {decode(*deletion, "key"), std::nullopt, 0};
}

void sendJson(Poco::Net::HTTPServerResponse &response, const Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    response.setContentType("application/json");
    const std::string body = text.str();
    response.sendBuffer(body.data(), body.size());
}

void sendError(Poco::Net::HTTPServerResponse &response, HTTPResponse::HTTPStatus status,
               const std::string &message)
{
    response.setStatusAndReason(status);
    response.sendBuffer(message.data(), message.size());
}

std::string callKind(const std::string &path)
{
    const std::string prefix = "/v3/";
    return path.rfind(prefix, 0) == 0 ? path.substr(prefix.size()) : path;
}

// Key of a call: its own, or the first one of a transaction.
std::string firstKey(const Object &body)
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

// Purpose from a key of the form "sardinehollow/DEPLOYMENT/PURPOSE/...".
std::string callPurpose(const std::string &key)
{
    const Poco::StringTokenizer parts(key, "/");
    constexpr std::size_t purposePart = 2;
    return parts.count() > purposePart ? parts[purposePart] : "none";
}

bool isWriteCall(const std::string &path, const Object &body)
{
    if (path == "/v3/kv/txn") {
        const Array::Ptr success = body.getArray("success");
        return !success.isNull() && success->size() > 0;
    }
    return path != "/v3/kv/range" && path != "/v3/watch";
}

Object::Ptr makeEventMessage(std::int64_t revision, const std::vector<StoreEvent> &events)
{
    Object::Ptr result = makeReply(revision);
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

Object::Ptr makeCancelMessage(std::int64_t revision, std::int64_t compactRevision)
{
    Object::Ptr result = makeReply(revision);
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

EtcdHandler::EtcdHandler(PlatformState &platform)
    : m_platform(platform)
    , m_gate(platform)
{ }

void EtcdHandler::handleRequest(Poco::Net::HTTPServerRequest &request,
                                Poco::Net::HTTPServerResponse &response)
{
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    if (!m_gate.waitWhileDelayedOrSilent(request)) {
        closeConnection(request);
        return;
    }
    if (m_platform.outage) {
        sendError(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the platform is down");
        return;
    }
    try {
        dispatch(request, response, text);
    } catch (const Poco::Exception &exception) {
        sendError(response, HTTPResponse::HTTP_BAD_REQUEST, exception.displayText());
    }
}

void EtcdHandler::dispatch(Poco::Net::HTTPServerRequest &request,
                           Poco::Net::HTTPServerResponse &response, const std::string &text)
{
    const std::string &path = request.getURI();
    if (path == "/v1/vms") {
        m_platform.calls.count("vms", "vm-list");
        Object object;
        object.set("vms", m_platform.vms.list());
        sendJson(response, object);
        return;
    }
    Poco::JSON::Parser parser;
    const auto body = parser.parse(text).extract<Object::Ptr>();
    m_platform.calls.count(callKind(path), callPurpose(firstKey(*body)));
    const bool isWrite = isWriteCall(path, *body);
    if (!m_gate.admit(isWrite)) {
        sendError(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "too many requests");
        return;
    }
    if (path == "/v3/watch") {
        watch(*body->getObject("create_request"), request, response);
        return;
    }
    const Object::Ptr reply = handleCall(path, *body);
    if (isWrite && m_gate.consumeLostReply()) {
        closeConnection(request);
        return;
    }
    sendJson(response, *reply);
}

void EtcdHandler::checkSize(const std::string &value) const
{
    if (value.size() > m_platform.maxValueBytes)
        throw Poco::InvalidArgumentException("the value is too large");
}

Object::Ptr EtcdHandler::handleCall(const std::string &path, const Object &body)
{
    if (path == "/v3/kv/range")
        return range(body);
    if (path == "/v3/kv/txn")
        return transact(body);
    if (path == "/v3/kv/put") {
        checkSize(decode(body, "value"));
        m_platform.store.transact(
                {}, {{decode(body, "key"), decode(body, "value"), integer(body, "lease")}});
        return makeReply(m_platform.store.revision());
    }
    Object::Ptr reply = makeReply(m_platform.store.revision());
    if (path == "/v3/lease/grant") {
        const std::int64_t lifetime = integer(body, "TTL");
        reply->set("ID",
                   std::to_string(m_platform.store.grantLease(std::chrono::seconds(lifetime))));
        reply->set("TTL", std::to_string(lifetime));
    } else if (path == "/v3/lease/keepalive") {
        Object::Ptr result = new Object;
        result->set("ID", std::to_string(integer(body, "ID")));
        result->set("TTL", std::to_string(m_platform.store.keepAliveLease(integer(body, "ID"))));
        reply->set("result", result);
    } else if (path == "/v3/lease/revoke") {
        m_platform.store.revokeLease(integer(body, "ID"));
    } else {
        throw Poco::NotFoundException(path);
    }
    return reply;
}

Object::Ptr EtcdHandler::range(const Object &body)
{
    const MemoryStore::Range found
            = m_platform.store.range(decode(body, "key"), decode(body, "range_end"));
    Array::Ptr entries = new Array;
    for (const auto &[key, stored] : found.entries)
        entries->add(toObject(key, stored));
    Object::Ptr reply = makeReply(found.revision);
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
    const bool succeeded = m_platform.store.transact(conditions, operations);
    Object::Ptr reply = makeReply(m_platform.store.revision());
    reply->set("succeeded", succeeded);
    return reply;
}

void EtcdHandler::watch(const Object &body, Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response)
{
    const std::string connection = request.clientAddress().toString();
    const std::string key = decode(body, "key");
    const std::string end = decode(body, "range_end");
    std::int64_t nextRevision = integer(body, "start_revision");
    response.setChunkedTransferEncoding(true);
    std::ostream &output = response.send();
    const std::int64_t oldestRevision = m_platform.store.compactRevision();
    if (nextRevision != 0 && nextRevision < oldestRevision) {
        sendMessage(output, makeCancelMessage(m_platform.store.revision(), oldestRevision));
        return;
    }
    auto lastMessage = std::chrono::steady_clock::time_point();
    while (!m_platform.stopping && !m_platform.outage && output.good()
           && !isCallerDisconnected(request)) {
        if (m_platform.silentConnections->isSilent(connection)) {
            std::this_thread::sleep_for(silencePollInterval);
            continue;
        }
        // Read before waiting for events: if there are none, all changes up to this revision have
        // been sent, and the client may resume its watch from it.
        const std::int64_t currentRevision = m_platform.store.revision();
        const std::vector<StoreEvent> events
                = m_platform.store.waitForEvents(key, end, nextRevision, watchPollInterval);
        const auto now = std::chrono::steady_clock::now();
        if (m_platform.silentConnections->isSilent(connection)
            || (events.empty() && now - lastMessage < m_platform.progressInterval))
            continue;
        lastMessage = now;
        if (!events.empty())
            nextRevision = events.back().stored.modRevision + 1;
        sendMessage(output,
                    makeEventMessage(events.empty() ? currentRevision
                                                    : events.back().stored.modRevision,
                                     events));
    }
    if (m_platform.outage)
        closeConnection(request);
}

} // namespace sardinehollow::standin
