#pragma once

#include "sardinehollow_network/loop/EventLoop.h"
#include "sardinehollow_platform/store/KeyValueStore.h"

#include <functional>
#include <thread>

namespace sardinehollow::gateway {

/** Reads the daemons' entries once, on a thread of its own. */
class EntriesRead
{
public:
    /** Called on the loop's thread. The entries may be some seconds old. */
    using Handler = std::function<void(const core::Result<platform::RangeResult> &)>;

    EntriesRead(platform::KeyValueStore &store, network::EventLoop &loop, Handler onRead);
    ~EntriesRead();

    EntriesRead(const EntriesRead &) = delete;
    EntriesRead &operator=(const EntriesRead &) = delete;

private:
    std::thread m_thread;
};

} // namespace sardinehollow::gateway
