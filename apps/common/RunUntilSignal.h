#pragma once

#include "common/ExitCode.h"
#include "common/StopSignal.h"

#include <Poco/Exception.h>

#include <exception>
#include <iostream>
#include <memory>

namespace sardinehollow::apps {

/**
 * Starts something by its constructor, waits for SIGTERM or SIGINT and hands it to the function
 * that ends it. What the constructor throws is told with the remedy.
 */
template <typename Service, typename Start, typename Finish>
ExitCode runUntilSignal(const Start &start, const Finish &finish, const char *remedy)
{
    const StopSignal stop;
    try {
        const std::unique_ptr<Service> service = start();
        stop.wait();
        finish(*service);
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
