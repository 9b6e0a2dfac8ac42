#include "sardinehollow_gateway/sharing/FeedCodec.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace sardinehollow::gateway {

namespace {

// Larger than the history of a relay; protects against a message that expands without limit.
constexpr std::size_t maximumListBytes = 8 * 1024 * 1024;
constexpr std::size_t readBufferBytes = 16 * 1024;

std::string compress(const std::string &bytes)
{
    std::ostringstream output;
    Poco::DeflatingOutputStream stream(output, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    stream << bytes;
    stream.close();
    return output.str();
}

core::Result<std::string> decompress(const std::string &bytes)
{
    std::istringstream input(bytes);
    Poco::InflatingInputStream stream(input, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string text;
    std::array<char, readBufferBytes> buffer {};
    while (stream && text.size() <= maximumListBytes) {
        stream.read(buffer.data(), buffer.size());
        text.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
    }
    if (stream.bad() || text.size() > maximumListBytes)
        return core::failure(core::ErrorKind::InvalidInput,
                             "the changes of the store in a peer's message cannot be decompressed",
                             "check that all daemons run the same version");
    return text;
}

} // namespace

peer::wire::Envelope FeedEncoder::encode(const sharing::FeedFrame &frame)
{
    peer::wire::Envelope envelope;
    peer::wire::StoreChanges &message = *envelope.mutable_store_changes();
    message.set_requested_at_ns(frame.requestedAt.count());
    message.set_is_current(frame.currentAfterRequest.has_value());
    message.set_current_after_request_ns(
            frame.currentAfterRequest.value_or(core::Duration {0}).count());
    message.set_is_snapshot(frame.isSnapshot);
    message.set_after_revision(frame.afterRevision);
    message.set_revision(frame.revision);
    message.set_is_history_lost(frame.isHistoryLost);
    message.set_recoveries(frame.recoveries);
    if (frame.changes && !frame.changes->empty())
        message.set_compressed_changes(compressed(frame));
    return envelope;
}

const std::string &FeedEncoder::compressed(const sharing::FeedFrame &frame)
{
    const auto [entry, isNew] = m_compressed.try_emplace(frame.changes);
    if (!isNew)
        return entry->second;
    peer::wire::StoreChangeList list;
    for (const platform::KeyValue &change : *frame.changes) {
        peer::wire::StoreChangeList::Change &encoded = *list.add_changes();
        encoded.set_key(change.key);
        encoded.set_value(change.value);
        encoded.set_revision(change.modRevision);
        encoded.set_is_deleted(change.isDeleted);
    }
    entry->second = compress(list.SerializeAsString());
    return entry->second;
}

core::Result<sharing::FeedFrame> decodeFrame(const peer::wire::StoreChanges &message)
{
    sharing::FeedFrame frame;
    frame.requestedAt = core::Instant(message.requested_at_ns());
    if (message.is_current())
        frame.currentAfterRequest = core::Duration(message.current_after_request_ns());
    frame.isSnapshot = message.is_snapshot();
    frame.afterRevision = message.after_revision();
    frame.revision = message.revision();
    frame.isHistoryLost = message.is_history_lost();
    frame.recoveries = message.recoveries();
    peer::wire::StoreChangeList list;
    if (!message.compressed_changes().empty()) {
        const core::Result<std::string> bytes = decompress(message.compressed_changes());
        if (!bytes)
            return tl::unexpected<core::Error>(bytes.error());
        if (!list.ParseFromString(*bytes))
            return core::failure(core::ErrorKind::InvalidInput,
                                 "the changes of the store in a peer's message cannot be parsed",
                                 "check that all daemons run the same version");
    }
    std::vector<platform::KeyValue> changes;
    for (const peer::wire::StoreChangeList::Change &encoded : list.changes()) {
        platform::KeyValue change;
        change.key = encoded.key();
        change.value = encoded.value();
        change.modRevision = encoded.revision();
        change.isDeleted = encoded.is_deleted();
        changes.push_back(std::move(change));
    }
    frame.changes = std::make_shared<const std::vector<platform::KeyValue>>(std::move(changes));
    return frame;
}

} // namespace sardinehollow::gateway
