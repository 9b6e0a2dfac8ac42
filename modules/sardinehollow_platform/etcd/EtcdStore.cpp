#include "sardinehollow_platform/etcd/EtcdStore.h"

#include "sardinehollow_platform/etcd/EtcdJson.h"
#include "sardinehollow_platform/etcd/EtcdWatch.h"

#include <sstream>

namespace sardinehollow::platform {

namespace {

using Poco::JSON::Object;

constexpr const char *noAddress = "no store address is set";
constexpr const char *addressRemedy = "set storeAddresses";

// An answer of a wrong form says nothing about the effect of its call.
template <typename Reader>
auto read(const core::Result<Object::Ptr> &reply, Reader reader)
        -> core::Result<decltype(reader(**reply))>
{
    if (!reply)
        return tl::unexpected<core::Error>(reply.error());
    try {
        return reader(**reply);
    } catch (const Poco::Exception &exception) {
        return core::failure(core::ErrorKind::ResultUnknown,
                             "the answer of the store is not understood: "
                                     + exception.displayText(),
                             "check that the address is the one of the store");
    }
}

} // namespace

EtcdStore::EtcdStore(const std::vector<std::string> &addresses, std::chrono::milliseconds timeout,
                     std::chrono::milliseconds watchSilenceLimit)
    : m_watchSilenceLimit(watchSilenceLimit)
{
    for (const std::string &address : addresses)
        m_endpoints.emplace_back(address, timeout);
}

core::Result<RangeResult> EtcdStore::range(CallPurpose purpose, const std::string &key,
                                           bool isPrefix)
{
    Object request;
    setRange(request, key, isPrefix);
    return read(post(CallKind::Range, purpose, "/v3/kv/range", request), [](const Object &reply) {
        return RangeResult {keyValues(reply), headerRevision(reply)};
    });
}

core::Result<TransactionResult> EtcdStore::transact(CallPurpose purpose,
                                                    const std::vector<Compare> &conditions,
                                                    const std::vector<Write> &writes)
{
    const Object::Ptr request = transactionRequest(conditions, writes);
    return read(post(CallKind::Transaction, purpose, "/v3/kv/txn", *request),
                [](const Object &reply) {
                    return TransactionResult {reply.optValue("succeeded", false),
                                              headerRevision(reply)};
                });
}

core::Result<Lease> EtcdStore::grantLease(CallPurpose purpose, std::chrono::seconds lifetime)
{
    Object request;
    request.set("TTL", std::to_string(lifetime.count()));
    return read(post(CallKind::LeaseGrant, purpose, "/v3/lease/grant", request),
                [](const Object &reply) {
                    return Lease {integerField(reply, "ID"),
                                  std::chrono::seconds(integerField(reply, "TTL"))};
                });
}

core::Result<Lease> EtcdStore::keepAliveLease(CallPurpose purpose, std::int64_t id)
{
    Object request;
    request.set("ID", std::to_string(id));
    const core::Result<std::int64_t> lifetime
            = read(post(CallKind::LeaseKeepAlive, purpose, "/v3/lease/keepalive", request),
                   [](const Object &reply) {
                       const Object::Ptr result = reply.getObject("result");
                       return result.isNull() ? std::int64_t(0) : integerField(*result, "TTL");
                   });
    if (!lifetime)
        return tl::unexpected<core::Error>(lifetime.error());
    if (*lifetime <= 0) {
        return core::failure(core::ErrorKind::NotFound, "the lease has lapsed",
                             "grant a new lease and take a new epoch");
    }
    return Lease {id, std::chrono::seconds(*lifetime)};
}

core::Result<void> EtcdStore::revokeLease(CallPurpose purpose, std::int64_t id)
{
    Object request;
    request.set("ID", std::to_string(id));
    const core::Result<Object::Ptr> reply
            = post(CallKind::LeaseRevoke, purpose, "/v3/lease/revoke", request);
    if (!reply)
        return tl::unexpected<core::Error>(reply.error());
    return {};
}

core::Result<std::unique_ptr<Watch>> EtcdStore::watch(CallPurpose purpose, const std::string &key,
                                                      bool isPrefix, std::int64_t afterRevision,
                                                      WatchListener &listener)
{
    if (m_endpoints.empty())
        return core::failure(core::ErrorKind::Unreachable, noAddress, addressRemedy);
    m_calls.count(CallKind::Watch, purpose);
    Object::Ptr create = new Object;
    setRange(*create, key, isPrefix);
    create->set("start_revision", std::to_string(afterRevision + 1));
    create->set("progress_notify", true);
    Object request;
    request.set("create_request", create);
    std::ostringstream body;
    request.stringify(body);
    const Endpoint &endpoint = m_endpoints.at(m_current % m_endpoints.size());
    return std::make_unique<EtcdWatch>(endpoint.address, body.str(), m_watchSilenceLimit, listener);
}

core::Result<Object::Ptr> EtcdStore::post(CallKind kind, CallPurpose purpose,
                                          const std::string &path, const Object &body)
{
    core::Result<Object::Ptr> reply
            = core::failure(core::ErrorKind::Unreachable, noAddress, addressRemedy);
    const std::size_t first = m_current;
    for (std::size_t attempt = 0; attempt < m_endpoints.size(); ++attempt) {
        const std::size_t index = (first + attempt) % m_endpoints.size();
        m_calls.count(kind, purpose);
        reply = m_endpoints.at(index).client.post(path, body);
        // Another address is tried only if this call cannot have taken effect.
        if (reply || reply.error().kind != core::ErrorKind::Unreachable) {
            m_current = index;
            return reply;
        }
    }
    return reply;
}

} // namespace sardinehollow::platform
