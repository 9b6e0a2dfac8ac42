#include "sardinehollow_platform/etcd/EtcdJson.h"

#include "sardinehollow_core/encoding/Base64.h"

#include <Poco/JSON/Array.h>

namespace sardinehollow::platform {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

KeyValue toKeyValue(const Object &object)
{
    KeyValue keyValue;
    keyValue.key = core::fromBase64(object.optValue<std::string>("key", ""));
    keyValue.value = core::fromBase64(object.optValue<std::string>("value", ""));
    keyValue.modRevision = integerField(object, "mod_revision");
    keyValue.lease = integerField(object, "lease");
    return keyValue;
}

Object::Ptr compareObject(const Compare &condition)
{
    Object::Ptr object = new Object;
    object->set("key", core::toBase64(condition.key));
    object->set("target", "MOD");
    object->set("result", "EQUAL");
    object->set("mod_revision", std::to_string(condition.modRevision));
    return object;
}

Object::Ptr writeObject(const Write &write)
{
    Object::Ptr request = new Object;
    request->set("key", core::toBase64(write.key));
    Object::Ptr operation = new Object;
    if (!write.value) {
        operation->set("request_delete_range", request);
        return operation;
    }
    request->set("value", core::toBase64(*write.value));
    if (write.lease != 0)
        request->set("lease", std::to_string(write.lease));
    operation->set("request_put", request);
    return operation;
}

} // namespace

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const auto last = static_cast<unsigned char>(prefix.back());
        if (last != 0xff) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

void setRange(Object &request, const std::string &key, bool isPrefix)
{
    request.set("key", core::toBase64(key));
    if (isPrefix)
        request.set("range_end", core::toBase64(prefixEnd(key)));
}

Object::Ptr transactionRequest(const std::vector<Compare> &conditions,
                               const std::vector<Write> &writes)
{
    Array::Ptr compare = new Array;
    for (const Compare &condition : conditions)
        compare->add(compareObject(condition));
    Array::Ptr success = new Array;
    for (const Write &write : writes)
        success->add(writeObject(write));
    Object::Ptr request = new Object;
    request->set("compare", compare);
    request->set("success", success);
    return request;
}

std::int64_t headerRevision(const Object &response)
{
    const Object::Ptr header = response.getObject("header");
    return header.isNull() ? 0 : integerField(*header, "revision");
}

std::int64_t integerField(const Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = object.get(field);
    return value.isEmpty() ? 0 : value.convert<std::int64_t>();
}

std::vector<KeyValue> keyValues(const Object &response)
{
    std::vector<KeyValue> result;
    const Array::Ptr entries = response.getArray("kvs");
    for (std::size_t index = 0; !entries.isNull() && index < entries->size(); ++index) {
        const Object::Ptr entry = entries->getObject(static_cast<unsigned>(index));
        if (entry.isNull())
            continue;
        result.push_back(toKeyValue(*entry));
    }
    return result;
}

std::vector<KeyValue> eventKeyValues(const Object &response)
{
    std::vector<KeyValue> result;
    const Array::Ptr events = response.getArray("events");
    for (std::size_t index = 0; !events.isNull() && index < events->size(); ++index) {
        const Object::Ptr event = events->getObject(static_cast<unsigned>(index));
        const Object::Ptr entry = event.isNull() ? Object::Ptr() : event->getObject("kv");
        if (entry.isNull())
            continue;
        result.push_back(toKeyValue(*entry));
        result.back().isDeleted = event->optValue<std::string>("type", "PUT") == "DELETE";
    }
    return result;
}

} // namespace sardinehollow::platform
