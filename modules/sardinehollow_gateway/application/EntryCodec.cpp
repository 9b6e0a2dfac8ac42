#include "sardinehollow_gateway/application/EntryCodec.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>

#include <sstream>

namespace sardinehollow::gateway {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// The hash is written as hexadecimal text, because JSON numbers are not exact at 64 bits.
Object::Ptr toJson(const routing::CrashReport &report)
{
    Object::Ptr object = new Object;
    object->set("request",
                Poco::NumberFormatter::formatHex(static_cast<Poco::UInt64>(report.request)));
    object->set("server", report.server);
    if (report.isRelayed)
        object->set("relayed", true);
    return object;
}

routing::CrashReport toReport(const Object &object)
{
    routing::CrashReport report;
    report.request = Poco::NumberParser::parseHex64(object.getValue<std::string>("request"));
    report.server = object.getValue<std::string>("server");
    report.isRelayed = object.optValue("relayed", false);
    return report;
}

} // namespace

std::string encodeEntry(const Entry &entry)
{
    Object object;
    object.set("vm", entry.daemon.name);
    object.set("address", entry.daemon.address);
    object.set("failureDomain", entry.daemon.failureDomain);
    object.set("region", entry.daemon.region);
    if (!entry.daemon.peerAddress.empty())
        object.set("peerAddress", entry.daemon.peerAddress);
    if (entry.daemon.linkMegabits > 0)
        object.set("linkMegabits", entry.daemon.linkMegabits);
    if (entry.daemon.cores > 0)
        object.set("cores", entry.daemon.cores);
    Array::Ptr reports = new Array;
    for (const routing::CrashReport &report : entry.crashReports)
        reports->add(toJson(report));
    if (!entry.crashReports.empty())
        object.set("crashReports", reports);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

core::Result<Entry> decodeEntry(const std::string &text)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(text).extract<Object::Ptr>();
        Entry entry;
        entry.daemon.name = object->getValue<std::string>("vm");
        entry.daemon.address = object->getValue<std::string>("address");
        entry.daemon.failureDomain = object->getValue<std::string>("failureDomain");
        entry.daemon.region = object->getValue<std::string>("region");
        entry.daemon.peerAddress = object->optValue<std::string>("peerAddress", "");
        entry.daemon.linkMegabits = object->optValue("linkMegabits", 0.0);
        entry.daemon.cores = object->optValue("cores", 0.0);
        const Array::Ptr reports = object->getArray("crashReports");
        for (unsigned index = 0; !reports.isNull() && index < reports->size(); ++index)
            entry.crashReports.push_back(toReport(*reports->getObject(index)));
        return entry;
    } catch (const Poco::Exception &exception) {
        return core::failure(core::ErrorKind::InvalidInput,
                             "the store entry of a daemon cannot be parsed: "
                                     + exception.displayText(),
                             "check that all daemons run the same version");
    }
}

} // namespace sardinehollow::gateway
