#pragma once

#include "sardinehollow_platform/http/JsonClient.h"
#include "sardinehollow_platform/store/CallKind.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <Poco/JSON/Object.h>

#include <atomic>
#include <chrono>
#include <deque>

namespace sardinehollow::platform {

/**
 * Client of etcd through the JSON mapping (gRPC gateway) of its v3 API. Calls fail over to the next
 * address if no connection can be made.
 */
class EtcdStore : public KeyValueStore
{
public:
    /**
     * Addresses are "host:port". The time-out limits a call on one address; a watch ends if the
     * store sends no message for the idle time-out.
     */
    EtcdStore(const std::vector<std::string> &addresses, std::chrono::milliseconds timeout,
              std::chrono::milliseconds watchIdleTimeout = std::chrono::seconds(15));

    core::Result<RangeResult> range(CallPurpose purpose, const std::string &key, bool isPrefix,
                                    Freshness freshness = Freshness::Current) override;
    core::Result<TransactionResult> transact(CallPurpose purpose,
                                             const std::vector<Compare> &conditions,
                                             const std::vector<Write> &writes) override;
    core::Result<Lease> grantLease(CallPurpose purpose, std::chrono::seconds lifetime) override;
    core::Result<Lease> keepAliveLease(CallPurpose purpose, std::int64_t id) override;
    core::Result<void> revokeLease(CallPurpose purpose, std::int64_t id) override;
    core::Result<std::unique_ptr<Watch>> watch(CallPurpose purpose, const std::string &key,
                                               bool isPrefix, std::int64_t afterRevision,
                                               WatchListener &listener) override;

    const CallCounters &callCounters() const override { return m_calls; }

private:
    core::Result<Poco::JSON::Object::Ptr> post(CallKind kind, CallPurpose purpose,
                                               const std::string &path,
                                               const Poco::JSON::Object &body);

    struct Endpoint
    {
        Endpoint(const std::string &endpointAddress, std::chrono::milliseconds timeout)
            : address(endpointAddress)
            , client(endpointAddress, timeout)
        { }

        const std::string address;
        JsonClient client;
    };

    const std::chrono::milliseconds m_watchIdleTimeout;
    std::deque<Endpoint> m_endpoints;
    /** Index of the endpoint that is tried first: the last one that accepted a connection. */
    std::atomic<std::size_t> m_preferredEndpoint {0};
    CallCounters m_calls;
};

} // namespace sardinehollow::platform
