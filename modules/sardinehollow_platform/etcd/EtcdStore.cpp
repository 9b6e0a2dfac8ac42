#include "sardinehollow_platform/etcd/EtcdStore.h"

#include "sardinehollow_platform/etcd/EtcdJson.h"
#include "sardinehollow_platform/etcd/EtcdWatch.h"

#include <sstream>

namespace sardinehollow::platform {

namespace {

using Poco::JSON::Object;

constexpr const char *noAddressMessage = "no store address is set";
constexpr const char *addressRemedy = "set storeAddresses";

// A malformed response does not tell whether the call took effect, hence ResultUnknown.
template <typename Decoder>
auto decodeResponse(const core::Result<Object::Ptr> &response, Decoder decoder)
        -> core::Result<decltype(decoder(**response))>
{
    if (!response)
        return tl::unexpected<core::Error>(response.error());
    try {
        return decoder(**response);
    } catch (const Poco::Exception &exception) {
        return core::failure(core::ErrorKind::ResultUnknown,
                             "the response of the store is malformed: " + exception.displayText(),
                             "check that the address is that of the store");
    }
}

} // namespace

EtcdStore::EtcdStore(const std::vector<std::string> &addresses, std::chrono::milliseconds timeout,
                     std::chrono::milliseconds watchIdleTimeout)
    : m_watchIdleTimeout(watchIdleTimeout)
{
    for (const std::string &address : addresses)
        m_endpoints.emplace_back(address, timeout);
}

core::Result<RangeResult> EtcdStore::range(CallPurpose purpose, const std::string &key,
                                           bool isPrefix, Freshness /*freshness*/)
{
    Object request;
    setRange(request, key, isPrefix);
    return decodeResponse(post(CallKind::Range, purpose, "/v3/kv/range", request),
                          [](const Object &response) {
                              return RangeResult {keyValues(response), headerRevision(response)};
                          });
}

core::Result<TransactionResult> EtcdStore::transact(CallPurpose purpose,
                                                    const std::vector<Compare> &conditions,
                                                    const std::vector<Write> &writes)
{
    const Object::Ptr request = transactionRequest(conditions, writes);
    return decodeResponse(post(CallKind::Transaction, purpose, "/v3/kv/txn", *request),
                          [](const Object &response) {
                              return TransactionResult {response.optValue("succeeded", false),
                                                        headerRevision(response)};
                          });
}

core::Result<Lease> EtcdStore::grantLease(CallPurpose purpose, std::chrono::seconds lifetime)
{
    Object request;
    request.set("TTL", std::to_string(lifetime.count()));
    return decodeResponse(post(CallKind::LeaseGrant, purpose, "/v3/lease/grant", request),
                          [](const Object &response) {
                              return Lease {integerField(response, "ID"),
                                            std::chrono::seconds(integerField(response, "TTL"))};
                          });
}

core::Result<Lease> EtcdStore::keepAliveLease(CallPurpose purpose, std::int64_t id)
{
    Object request;
    request.set("ID", std::to_string(id));
    const core::Result<std::int64_t> lifetime = decodeResponse(
            post(CallKind::LeaseKeepAlive, purpose, "/v3/lease/keepalive", request),
            [](const Object &response) {
                const Object::Ptr result = response.getObject("result");
                return result.isNull() ? std::int64_t(0) : integerField(*result, "TTL");
            });
    if (!lifetime)
        return tl::unexpected<core::Error>(lifetime.error());
    if (*lifetime <= 0) {
        return core::failure(core::ErrorKind::NotFound, "the lease has expired",
                             "grant a new lease and take a new epoch");
    }
    return Lease {id, std::chrono::seconds(*lifetime)};
}

core::Result<void> EtcdStore::revokeLease(CallPurpose purpose, std::int64_t id)
{
    Object request;
    request.set("ID", std::to_string(id));
    const core::Result<Object::Ptr> response
            = post(CallKind::LeaseRevoke, purpose, "/v3/lease/revoke", request);
    if (!response)
        return tl::unexpected<core::Error>(response.error());
    return {};
}

core::Result<std::unique_ptr<Watch>> EtcdStore::watch(CallPurpose purpose, const std::string &key,
                                                      bool isPrefix, std::int64_t afterRevision,
                                                      WatchListener &listener)
{
    if (m_endpoints.empty())
        return core::failure(core::ErrorKind::Unreachable, noAddressMessage, addressRemedy);
    m_calls.count(CallKind::Watch, purpose);
    Object::Ptr create = new Object;
    setRange(*create, key, isPrefix);
    create->set("start_revision", std::to_string(afterRevision + 1));
    create->set("progress_notify", true);
    Object request;
    request.set("create_request", create);
    std::ostringstream body;
    request.stringify(body);
    const Endpoint &endpoint = m_endpoints.at(m_preferredEndpoint % m_endpoints.size());
    return std::make_unique<EtcdWatch>(endpoint.address, body.str(), m_watchIdleTimeout, listener);
}

core::Result<Object::Ptr> EtcdStore::post(CallKind kind, CallPurpose purpose,
                                          const std::string &path, const Object &body)
{
    core::Result<Object::Ptr> response
            = core::failure(core::ErrorKind::Unreachable, noAddressMessage, addressRemedy);
    const std::size_t first = m_preferredEndpoint;
    for (std::size_t attempt = 0; attempt < m_endpoints.size(); ++attempt) {
        const std::size_t index = (first + attempt) % m_endpoints.size();
        m_calls.count(kind, purpose);
        response = m_endpoints.at(index).client.post(path, body);
        // Fails over to the next endpoint only if this call cannot have taken effect: another
        // attempt could apply a write twice.
        if (response || response.error().kind != core::ErrorKind::Unreachable) {
            m_preferredEndpoint = index;
            return response;
        }
    }
    return response;
}

} // namespace sardinehollow::platform
