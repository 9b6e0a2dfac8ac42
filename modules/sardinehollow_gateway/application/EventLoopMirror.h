#pragma once

#include "sardinehollow_network/loop/EventLoop.h"
#include "sardinehollow_platform/mirror/MirrorListener.h"
#include "sardinehollow_platform/mirror/PrefixMirror.h"

namespace sardinehollow::gateway {

/** Mirrors a prefix of the store and forwards the updates to a listener on the loop's thread. */
class EventLoopMirror : private platform::MirrorListener
{
public:
    EventLoopMirror(network::EventLoop &loop, platform::KeyValueStore &store,
                    platform::CallPurpose purpose, const std::string &prefix,
                    platform::MirrorListener &target, std::uint64_t seed)
        : m_loop(loop)
        , m_target(target)
        , m_mirror(store, purpose, prefix, *this, seed)
    { }

    /** See PrefixMirror::restartWatch(). */
    void recheck() { m_mirror.restartWatch(); }

private:
    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override
    {
        m_loop.post([this, keyValues] { m_target.onSnapshot(keyValues); });
    }
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override
    {
        m_loop.post([this, keyValues] { m_target.onChanged(keyValues); });
    }
    void onStoreLost(const core::Error &reason) override
    {
        m_loop.post([this, reason] { m_target.onStoreLost(reason); });
    }
    void onStoreRegained() override
    {
        m_loop.post([this] { m_target.onStoreRegained(); });
    }

    network::EventLoop &m_loop;
    platform::MirrorListener &m_target;
    platform::PrefixMirror m_mirror;
};

} // namespace sardinehollow::gateway
