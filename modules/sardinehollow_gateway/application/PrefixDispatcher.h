#pragma once

#include "sardinehollow_platform/mirror/MirrorListener.h"

#include <string>
#include <utility>
#include <vector>

namespace sardinehollow::gateway {

/**
 * Divides what one mirror reports among listeners by prefix, so that one waiting call to the store
 * serves all of them. Keys of no prefix are left out.
 */
class PrefixDispatcher : public platform::MirrorListener
{
public:
    /** The listener outlives the dispatcher. */
    void add(std::string prefix, platform::MirrorListener &listener);

    void onSnapshot(const std::vector<platform::KeyValue> &keyValues) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues) override;
    void onStoreLost(const core::Error &reason) override;
    void onStoreRegained() override;

private:
    std::vector<std::pair<std::string, platform::MirrorListener *>> m_listeners;
};

} // namespace sardinehollow::gateway
