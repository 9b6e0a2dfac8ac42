#pragma once

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sardinehollow::standin {

/** Counts calls to the platform by kind and by purpose. */
class CallCounts
{
public:
    void count(const std::string &kind, const std::string &purpose);
    /** Counts a call that was rejected by a rate limit. */
    void countRefused();
    /** Returns an object with total, refused, byKind, byPurpose and byKindAndPurpose. */
    Poco::JSON::Object::Ptr toJson() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_total = 0;
    std::uint64_t m_refused = 0;
    std::map<std::string, std::uint64_t> m_byKind;
    std::map<std::string, std::uint64_t> m_byPurpose;
    std::map<std::string, std::uint64_t> m_byKindAndPurpose;
};

} // namespace sardinehollow::standin
