#include "sardinehollow_gateway/sharing/EntriesRead.h"

#include "sardinehollow_gateway/application/EntryCodec.h"

namespace sardinehollow::gateway {

EntriesRead::EntriesRead(platform::KeyValueStore &store, network::EventLoop &loop, Handler onRead)
    : m_thread([&store, &loop, onRead = std::move(onRead)] {
        const core::Result<platform::RangeResult> entries = store.range(
                platform::CallPurpose::Entries, entryPrefix, true, platform::Freshness::Eventual);
        loop.post([onRead, entries] { onRead(entries); });
    })
{ }

EntriesRead::~EntriesRead()
{
    m_thread.join();
}

} // namespace sardinehollow::gateway
