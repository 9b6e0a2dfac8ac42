#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_peer/generated/peer.pb.h"
#include "sardinehollow_sharing/feed/FeedFrame.h"

#include <map>
#include <memory>
#include <string>

namespace sardinehollow::gateway {

/** Encodes frames; those with the same list of changes share its compressed form. */
class FeedEncoder
{
public:
    peer::wire::Envelope encode(const sharing::FeedFrame &frame);

private:
    const std::string &compressed(const sharing::FeedFrame &frame);

    std::map<std::shared_ptr<const std::vector<platform::KeyValue>>, std::string> m_compressed;
};

/** Fails if the changes cannot be decompressed or exceed the size limit. */
core::Result<sharing::FeedFrame> decodeFrame(const peer::wire::StoreChanges &message);

} // namespace sardinehollow::gateway
