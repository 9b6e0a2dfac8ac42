#include "sardinehollow_operator/edits/ConfigurationEdits.h"

#include <algorithm>
#include <charconv>

namespace sardinehollow::op {

bool addDrain(config::Configuration &configuration, config::DrainTarget target,
              const std::string &name)
{
    if (configuration.isDrained(target, name))
        return false;
    configuration.drains.push_back({target, name});
    return true;
}

bool removeDrain(config::Configuration &configuration, config::DrainTarget target,
                 const std::string &name)
{
    const auto removed = std::remove(configuration.drains.begin(), configuration.drains.end(),
                                     config::Drain {target, name});
    const bool found = removed != configuration.drains.end();
    configuration.drains.erase(removed, configuration.drains.end());
    return found;
}

void putShift(config::Configuration &configuration, config::Shift shift)
{
    removeShift(configuration, shift.name);
    configuration.shifts.push_back(std::move(shift));
}

bool removeShift(config::Configuration &configuration, const std::string &name)
{
    const auto removed
            = std::remove_if(configuration.shifts.begin(), configuration.shifts.end(),
                             [&name](const config::Shift &shift) { return shift.name == name; });
    const bool found = removed != configuration.shifts.end();
    configuration.shifts.erase(removed, configuration.shifts.end());
    return found;
}

core::Result<config::ShiftDestination> parseDestination(const std::string &text)
{
    const std::size_t separator = text.find('=');
    config::ShiftDestination destination;
    destination.failureDomain = text.substr(0, separator);
    bool valid = separator != std::string::npos && separator > 0;
    if (valid) {
        const char *end = text.data() + text.size();
        const auto parsed
                = std::from_chars(text.data() + separator + 1, end, destination.capPerSecond);
        valid = parsed.ec == std::errc() && parsed.ptr == end;
    }
    if (!valid) {
        return core::failure(core::ErrorKind::InvalidInput, "'" + text + "' is not a destination",
                             "give FAILURE-DOMAIN=REQUESTS-PER-SECOND, for example west-a=200");
    }
    return destination;
}

} // namespace sardinehollow::op
