#include "sardinehollow_gateway/application/MemberTracker.h"

#include <map>
#include <set>

namespace sardinehollow::gateway {

MemberTracker::MemberTracker(GatewayServices &services, std::string prefix,
                             core::Duration reappearanceTime)
    : m_services(services)
    , m_prefix(std::move(prefix))
    , m_removals(reappearanceTime)
{ }

void MemberTracker::onSnapshot(const std::vector<platform::KeyValue> &keyValues)
{
    std::set<std::string> present;
    for (const platform::KeyValue &keyValue : keyValues) {
        present.insert(nameOf(keyValue));
        put(nameOf(keyValue), keyValue);
    }
    std::vector<std::string> missing = knownNames();
    std::erase_if(missing, [&present](const std::string &name) { return present.count(name) > 0; });
    onMissing(missing, missing.size());
}

void MemberTracker::onChanged(const std::vector<platform::KeyValue> &keyValues)
{
    const std::vector<std::string> names = knownNames();
    const std::set<std::string> known(names.begin(), names.end());
    std::size_t removed = 0;
    // A key may be written and deleted within one update; only its last change is applied.
    std::map<std::string, const platform::KeyValue *> lastChanges;
    for (const platform::KeyValue &keyValue : keyValues) {
        const std::string name = nameOf(keyValue);
        if (keyValue.isDeleted && known.count(name) > 0)
            ++removed;
        lastChanges[name] = &keyValue;
    }
    std::vector<std::string> missing;
    for (const auto &[name, keyValue] : lastChanges) {
        if (!keyValue->isDeleted)
            put(name, *keyValue);
        else if (known.count(name) > 0)
            missing.push_back(name);
    }
    onMissing(missing, removed);
}

std::string MemberTracker::nameOf(const platform::KeyValue &keyValue) const
{
    return keyValue.key.substr(m_prefix.size());
}

void MemberTracker::put(const std::string &name, const platform::KeyValue &keyValue)
{
    if (apply(name, keyValue))
        m_removals.onPresent(name);
}

void MemberTracker::onMissing(const std::vector<std::string> &names, std::size_t removed)
{
    const std::size_t known = knownNames().size();
    for (const std::string &name :
         m_removals.onMissing(names, removed, known, m_services.loop.now()))
        remove(name, "its entry was removed from the store");
}

void MemberTracker::removeDue()
{
    for (const std::string &name : m_removals.takeDue(m_services.loop.now()))
        remove(name, "its entry was not written again after the store's outage");
}

void MemberTracker::onStoreLost(const core::Error & /*reason*/) { }

void MemberTracker::onStoreRestored()
{
    m_removals.onStoreRestored(m_services.loop.now());
}

void MemberTracker::onStoreRegained()
{
    m_removals.onStoreRegained(m_services.loop.now());
}

} // namespace sardinehollow::gateway
