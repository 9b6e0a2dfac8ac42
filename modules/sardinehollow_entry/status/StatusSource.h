#pragma once

#include <string>

namespace sardinehollow::entry {

/** Provides the daemon state that the operator listener serves. */
class StatusSource
{
public:
    virtual ~StatusSource() = default;

    /** Whether the daemon has a configuration and is serving requests. */
    virtual bool isReady() const = 0;
    virtual std::string statusJson() const = 0;
    virtual std::string metricsText() const = 0;
};

} // namespace sardinehollow::entry
