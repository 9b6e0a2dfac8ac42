#pragma once

#include "sardinehollow_platform/mirror/MirrorListener.h"

#include <string>
#include <utility>
#include <vector>

namespace sardinehollow::gateway {

/**
 * Dispatches the updates of one mirror to listeners by key prefix, so that all of them share a
 * single watch. Keys that match no prefix are ignored.
 */
class PrefixDispatcher : public platform::MirrorListener
{
public:
    /** Adds a listener, which must outlive the dispatcher. */
    void add(std::string prefix, platform::MirrorListener &listener);

    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;
    void onStoreRestored() override;

private:
    std::vector<std::pair<std::string, platform::MirrorListener *>> m_listeners;
};

} // namespace sardinehollow::gateway
