#include "sardinehollow_gateway/application/PrefixDispatcher.h"

namespace sardinehollow::gateway {

namespace {

std::vector<platform::KeyValue> withPrefix(const std::vector<platform::KeyValue> &keyValues,
                                           const std::string &prefix)
{
    std::vector<platform::KeyValue> selected;
    for (const platform::KeyValue &keyValue : keyValues) {
        if (keyValue.key.compare(0, prefix.size(), prefix) == 0)
            selected.push_back(keyValue);
    }
    return selected;
}

} // namespace

void PrefixDispatcher::add(std::string prefix, platform::MirrorListener &listener)
{
    m_listeners.emplace_back(std::move(prefix), &listener);
}

void PrefixDispatcher::onSnapshot(const std::vector<platform::KeyValue> &keyValues)
{
    for (const auto &[prefix, listener] : m_listeners)
        listener->onSnapshot(withPrefix(keyValues, prefix));
}

void PrefixDispatcher::onChanged(const std::vector<platform::KeyValue> &keyValues)
{
    for (const auto &[prefix, listener] : m_listeners) {
        const std::vector<platform::KeyValue> selected = withPrefix(keyValues, prefix);
        if (!selected.empty())
            listener->onChanged(selected);
    }
}

void PrefixDispatcher::onStoreLost(const core::Error &reason)
{
    for (const auto &[prefix, listener] : m_listeners)
        listener->onStoreLost(reason);
}

void PrefixDispatcher::onStoreRestored()
{
    for (const auto &[prefix, listener] : m_listeners)
        listener->onStoreRestored();
}

void PrefixDispatcher::onStoreRegained()
{
    for (const auto &[prefix, listener] : m_listeners)
        listener->onStoreRegained();
}

} // namespace sardinehollow::gateway
