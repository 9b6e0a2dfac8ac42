#include "sardinehollow_peer/transport/MessageFilter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <optional>

using namespace sardinehollow;
using namespace std::chrono_literals;
using peer::DropReason;
using peer::wire::Envelope;

namespace {

Envelope validEnvelope(std::uint64_t sequence = 1)
{
    Envelope envelope;
    envelope.set_protocol_version(peer::protocolVersion);
    envelope.set_deployment("test");
    envelope.set_sender_id("vm-1");
    envelope.set_incarnation(7);
    envelope.set_sequence(sequence);
    envelope.mutable_heartbeat();
    return envelope;
}

struct Filter
{
    Filter() { filter.setSenders(std::map<std::string, std::string> {{"vm-1", "p1"}}); }

    std::optional<DropReason> offer(const std::string &bytes, core::Instant now = 100s)
    {
        const auto accepted = filter.accept(bytes, now);
        return accepted ? std::optional<DropReason>() : accepted.error();
    }

    std::optional<DropReason> offer(std::uint64_t incarnation, std::uint64_t sequence,
                                    core::Instant now = 100s)
    {
        Envelope envelope = validEnvelope(sequence);
        envelope.set_incarnation(incarnation);
        return offer(envelope.SerializeAsString(), now);
    }

    peer::MessageFilter filter {"test"};
};

struct Malformed
{
    std::string name;
    DropReason reason;
    std::function<std::string()> bytes;
};

std::string changed(const std::function<void(Envelope &)> &change)
{
    Envelope envelope = validEnvelope();
    change(envelope);
    return envelope.SerializeAsString();
}

std::vector<Malformed> malformedMessages()
{
    return {
            {"empty", DropReason::WrongVersion, [] { return std::string(); }},
            {"noise", DropReason::Unparsable, [] { return std::string(100, '\xff'); }},
            {"truncated", DropReason::Unparsable,
             [] {
                 const std::string bytes = validEnvelope().SerializeAsString();
                 return bytes.substr(0, bytes.size() - 1);
             }},
            {"too large", DropReason::TooLarge,
             [] { return std::string(peer::maximumMessageBytes + 1, 'x'); }},
            {"older version", DropReason::WrongVersion,
             [] { return changed([](Envelope &item) { item.set_protocol_version(0); }); }},
            {"newer version", DropReason::WrongVersion,
             [] { return changed([](Envelope &item) { item.set_protocol_version(2); }); }},
            {"other deployment", DropReason::WrongDeployment,
             [] { return changed([](Envelope &item) { item.set_deployment("other"); }); }},
            {"no sender", DropReason::UnknownSender,
             [] { return changed([](Envelope &item) { item.set_sender_id(""); }); }},
            {"unknown sender", DropReason::UnknownSender,
             [] { return changed([](Envelope &item) { item.set_sender_id("vm-9"); }); }},
            {"no body", DropReason::Unparsable,
             [] { return changed([](Envelope &item) { item.clear_heartbeat(); }); }},
            {"no incarnation", DropReason::Unparsable,
             [] { return changed([](Envelope &item) { item.set_incarnation(0); }); }},
            {"no sequence", DropReason::Unparsable,
             [] { return changed([](Envelope &item) { item.set_sequence(0); }); }},
    };
}

} // namespace

TEST_CASE("Malformed messages are dropped for the right reason")
{
    for (const Malformed &item : malformedMessages()) {
        CAPTURE(item.name);
        Filter filter;
        REQUIRE(filter.offer(item.bytes()) == item.reason);
        // A dropped message does not affect the next one.
        REQUIRE_FALSE(filter.offer(validEnvelope().SerializeAsString()));
    }
}

TEST_CASE("Random bytes and corrupted messages are never accepted from an unknown sender")
{
    REQUIRE(rc::check([](const std::string &noise, std::uint8_t position, std::uint8_t value) {
        Filter filter;
        RC_ASSERT(filter.offer(noise).has_value());
        std::string bytes = validEnvelope().SerializeAsString();
        bytes[position % bytes.size()] = static_cast<char>(value);
        const auto accepted = filter.filter.accept(bytes, 100s);
        // RC_ASSERT evaluates both sides of ||, even if no message was accepted.
        const bool genuine = !accepted || accepted->sender_id() == "vm-1";
        RC_ASSERT(genuine);
    }));
}

TEST_CASE("Duplicates, late messages and those of earlier incarnations are dropped")
{
    struct Step
    {
        std::uint64_t incarnation;
        std::uint64_t sequence;
        std::optional<DropReason> dropped;
    };
    const std::vector<Step> steps {
            {7, 1, {}},
            {7, 1, DropReason::Duplicate},
            {7, 3, {}},
            {7, 2, {}},
            {7, 2, DropReason::Duplicate},
            {7, 100, {}},
            {7, 37, {}},
            {7, 37, DropReason::Duplicate},
            {7, 36, DropReason::TooLate},
            {8, 1, {}},
            {7, 101, DropReason::StaleIncarnation},
            {8, 1, DropReason::Duplicate},
            {8, 1'000'000, {}},
            {8, 999'999, {}},
    };
    Filter filter;
    for (const Step &step : steps) {
        CAPTURE(step.incarnation, step.sequence);
        REQUIRE(filter.offer(step.incarnation, step.sequence) == step.dropped);
    }
}

TEST_CASE(
        "A daemon whose clock was set back is accepted once its earlier incarnation has timed out")
{
    Filter filter;
    REQUIRE_FALSE(filter.offer(7, 1, 100s));
    REQUIRE(filter.offer(5, 1, 109s) == DropReason::StaleIncarnation);
    REQUIRE_FALSE(filter.offer(5, 1, 111s));
}
