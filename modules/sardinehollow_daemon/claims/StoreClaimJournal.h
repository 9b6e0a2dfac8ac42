#pragma once

#include "sardinehollow_peer/claims/ClaimJournal.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <optional>

namespace sardinehollow::daemon {

/**
 * Stores the claim journal of one failure domain's scope in the platform's store. The revision of
 * the epoch record fences appends; the owner's lease is on the holder key.
 */
class StoreClaimJournal : public peer::ClaimJournal
{
public:
    StoreClaimJournal(platform::KeyValueStore &store, const std::string &deployment,
                      const std::string &failureDomain);

    peer::JournalResult call(const peer::JournalRequest &request) override;

private:
    peer::JournalResult readEpochs();
    peer::JournalResult takeEpoch(const peer::JournalRequest &request);
    peer::JournalResult loadEpoch(std::uint64_t epoch);
    peer::JournalResult append(const peer::JournalRequest &request);
    peer::JournalResult dropEpoch(std::uint64_t epoch);
    peer::JournalResult renew(std::int64_t lease);
    peer::JournalResult resign(std::int64_t lease);
    std::string epochPrefix(std::uint64_t epoch) const;

    platform::KeyValueStore &m_store;
    const std::string m_ownerPrefix;
    const std::string m_epochKey;
    const std::string m_holderKey;
    const std::string m_journalPrefix;
};

} // namespace sardinehollow::daemon
