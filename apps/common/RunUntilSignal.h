#pragma once

#include "common/ExitCode.h"
#include "common/StopSignal.h"

#include <Poco/Exception.h>

#include <exception>
#include <iostream>
#include <memory>

namespace sardinehollow::apps {

/**
 * Starts a service, waits for SIGTERM or SIGINT, then calls the shutdown function and destroys the
 * service. An exception is reported on stderr together with the remedy, and Usage is returned.
 */
template <typename Service, typename Start, typename ShutDown>
ExitCode runUntilSignal(const Start &start, const ShutDown &shutDown, const char *remedy)
{
    const StopSignal stopSignal;
    try {
        const std::unique_ptr<Service> service = start();
        stopSignal.wait();
        shutDown(*service);
    } catch (const Poco::Exception &exception) {
        std::cerr << "cannot start: " << exception.displayText() << "; " << remedy << '\n';
        return ExitCode::Usage;
    } catch (const std::exception &exception) {
        std::cerr << "cannot start: " << exception.what() << "; " << remedy << '\n';
        return ExitCode::Usage;
    }
    return ExitCode::Done;
}

} // namespace sardinehollow::apps
