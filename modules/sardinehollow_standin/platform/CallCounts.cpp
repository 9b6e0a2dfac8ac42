#include "sardinehollow_standin/platform/CallCounts.h"

namespace sardinehollow::standin {

namespace {

Poco::JSON::Object::Ptr toObject(const std::map<std::string, std::uint64_t> &counts)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    for (const auto &[name, count] : counts)
        object->set(name, count);
    return object;
}

} // namespace

void CallCounts::count(const std::string &kind, const std::string &purpose)
{
    const std::lock_guard lock(m_mutex);
    ++m_total;
    ++m_byKind[kind];
    ++m_byPurpose[purpose];
    ++m_byKindAndPurpose[kind + " " + purpose];
}

void CallCounts::countRefused()
{
    const std::lock_guard lock(m_mutex);
    ++m_refused;
}

Poco::JSON::Object::Ptr CallCounts::toJson() const
{
    const std::lock_guard lock(m_mutex);
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("total", m_total);
    object->set("refused", m_refused);
    object->set("byKind", toObject(m_byKind));
    object->set("byPurpose", toObject(m_byPurpose));
    object->set("byKindAndPurpose", toObject(m_byKindAndPurpose));
    return object;
}

} // namespace sardinehollow::standin
