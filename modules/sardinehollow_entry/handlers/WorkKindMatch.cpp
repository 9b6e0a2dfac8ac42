#include "sardinehollow_entry/handlers/WorkKindMatch.h"

#include <algorithm>

namespace sardinehollow::entry {

namespace {

// The prefix "/stops" matches "/stops", "/stops/1" and "/stops?x", but not "/stopsign".
bool matchesPrefix(const std::string &path, const std::string &prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    if (path.size() == prefix.size() || prefix.back() == '/')
        return true;
    return path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

const config::WorkKind *matchWorkKind(const config::Configuration &configuration,
                                      const std::string &method, const std::string &path)
{
    const config::WorkKind *best = nullptr;
    for (const config::WorkKind &kind : configuration.workKinds) {
        const bool hasMethod
                = std::find(kind.methods.begin(), kind.methods.end(), method) != kind.methods.end();
        if (!hasMethod || !matchesPrefix(path, kind.pathPrefix))
            continue;
        if (best == nullptr || kind.pathPrefix.size() > best->pathPrefix.size())
            best = &kind;
    }
    return best;
}

} // namespace sardinehollow::entry
