#pragma once

#include "sardinehollow_platform/store/Compare.h"
#include "sardinehollow_platform/store/KeyValue.h"
#include "sardinehollow_platform/store/Write.h"

#include <Poco/JSON/Object.h>

#include <vector>

namespace sardinehollow::platform {

/**
 * Returns the range_end, which is exclusive, for all keys with the prefix. A prefix without a byte
 * below 0xff, such as the empty one, gives a single NUL, which etcd reads as "no upper bound".
 */
std::string prefixEnd(std::string prefix);

/** Sets key and, for a prefix, range_end of a request; both are Base64 in JSON. */
void setRange(Poco::JSON::Object &request, const std::string &key, bool isPrefix);

/** Builds the body of /v3/kv/txn: the writes are applied if all conditions hold. */
Poco::JSON::Object::Ptr transactionRequest(const std::vector<Compare> &conditions,
                                           const std::vector<Write> &writes);

/** Reads the revision of a response's header; 0 if it is absent. */
std::int64_t headerRevision(const Poco::JSON::Object &response);

/** Reads a 64-bit integer, which the JSON mapping encodes as a string; 0 if it is absent. */
std::int64_t integerField(const Poco::JSON::Object &object, const std::string &field);

/** Reads the array "kvs" of a range response. */
std::vector<KeyValue> keyValues(const Poco::JSON::Object &response);

/** Reads the events of a watch response; a DELETE event sets isDeleted. */
std::vector<KeyValue> eventKeyValues(const Poco::JSON::Object &response);

} // namespace sardinehollow::platform
