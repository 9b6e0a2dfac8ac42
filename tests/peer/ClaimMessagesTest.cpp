#include "sardinehollow_peer/claims/ClaimMessages.h"
#include "sardinehollow_peer/claims/ClaimCandidates.h"
#include "sardinehollow_peer/claims/ClaimClient.h"
#include "sardinehollow_peer/claims/ScopedKey.h"
#include "sardinehollow_peer/generated/peer.pb.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

using Result = peer::ClaimVerdict::Result;

constexpr core::Instant start = 1h;

peer::ClaimClient makeClient(std::uint64_t incarnation)
{
    return {"west-a-1",
            incarnation,
            [](const std::string &) {
                return std::vector<std::string> {"east-a-1", "east-a-2"};
            },
            {}};
}

peer::ClaimCall makeCall()
{
    peer::ClaimCall call;
    call.workKind = "post";
    call.key = "east-a~7.own";
    call.contentDigest = "digest";
    call.deadline = start + 5s;
    return call;
}

/**
 * Sends a call to the owner and the verdict back, through their messages; returns what the daemon
 * receives.
 */
peer::ClaimResponse exchange(const peer::ClaimMessage &message, peer::ClaimVerdict verdict)
{
    peer::wire::Envelope envelope = toEnvelope(message.call, start);
    envelope.set_sender_id("west-a-1");
    // The transport's incarnation changes when a daemon rejoins after a pause.
    envelope.set_incarnation(99);
    const peer::ClaimCall received = peer::toClaimCall(envelope, start);
    REQUIRE(received.id == message.call.id);
    const peer::wire::Envelope reply
            = toEnvelope(peer::ClaimResponse {received.id, received.operation, std::move(verdict)});
    return peer::toClaimResponse(reply.claim_reply(), "west-a-1");
}

} // namespace

TEST_CASE("A scope prefix is recognised in one spelling only")
{
    // Guards against two spellings of one epoch, which would give one request two keys.
    struct Case
    {
        std::string key;
        std::string scope;
    };
    const Case item
            = GENERATE(Case {"east-a~7.own", "east-a~7"}, Case {"east-a~7.a.b", "east-a~7"},
                       Case {"plain", ""}, Case {"east-a~7", ""}, Case {"east-a~7.", ""},
                       Case {"east-a~07.own", ""}, Case {"~7.own", ""}, Case {"east-a~x.own", ""},
                       Case {"east-a~-7.own", ""}, Case {"east-a~99999999999999999999.own", ""});
    CAPTURE(item.key);
    const std::optional<peer::ScopedKey> scoped = peer::ScopedKey::parse(item.key);
    REQUIRE((scoped ? scoped->scope() : "") == item.scope);
}

TEST_CASE("Verdicts are unchanged after conversion to and from messages")
{
    const peer::ClaimVerdict verdict = GENERATE(
            peer::ClaimVerdict {Result::Proceed, policy::RefusalReason::None, 0, "", true},
            peer::ClaimVerdict {Result::Replay, policy::RefusalReason::None, 201, "body", true},
            peer::ClaimVerdict {Result::Unknown, policy::RefusalReason::KeyInProgress, 0, "", true},
            peer::ClaimVerdict {Result::Refuse, policy::RefusalReason::KeyReused, 0, "", true},
            peer::ClaimVerdict {Result::Refuse, policy::RefusalReason::NoCapacity, 0, "", false});
    peer::ClaimClient client = makeClient(1);
    const std::uint64_t number = client.begin(makeCall(), start);
    client.onResponse(exchange(client.advance(start).at(0), verdict), start);
    REQUIRE(client.takeVerdict(number) == verdict);
}

TEST_CASE("A grant to an earlier incarnation of the daemon is ignored")
{
    // Guards against running a request twice: both incarnations number their calls from 1.
    peer::ClaimClient before = makeClient(1);
    before.begin(makeCall(), start);
    const peer::ClaimResponse grant
            = exchange(before.advance(start).at(0),
                       {Result::Proceed, policy::RefusalReason::None, 0, "", true});
    peer::ClaimClient after = makeClient(2);
    const std::uint64_t number = after.begin(makeCall(), start);
    (void)after.advance(start);
    after.onResponse(grant, start);
    REQUIRE_FALSE(after.takeVerdict(number));
}

TEST_CASE("A begin call without an answer times out, is released and never granted late")
{
    // Guards against running a request after its caller received the answer that it was not run.
    peer::ClaimClient client = makeClient(1);
    const std::uint64_t number = client.begin(makeCall(), start);
    const peer::ClaimMessage first = client.advance(start).at(0);
    REQUIRE(first.vm == "east-a-1");
    REQUIRE(client.advance(start + 400ms).at(0).vm == "east-a-2");
    const std::vector<peer::ClaimMessage> releases = client.advance(start + 6s);
    REQUIRE(releases.at(0).call.operation == peer::ClaimOperation::Release);
    REQUIRE(releases.at(0).call.id == first.call.id);
    client.onResponse(
            {first.call.id, peer::ClaimOperation::Begin, {Result::Proceed, {}, 0, {}, true}},
            start + 6s);
    const std::optional<peer::ClaimVerdict> verdict = client.takeVerdict(number);
    REQUIRE(verdict->result == Result::Refuse);
    REQUIRE_FALSE(verdict->confirmed);
    client.onResponse(
            {first.call.id, peer::ClaimOperation::Release, {Result::Proceed, {}, 0, {}, true}},
            start + 6s);
    (void)client.advance(start + 7s);
    REQUIRE(client.openClaims() == 0);
}

TEST_CASE("The designated owner is a live daemon that is not leaving")
{
    policy::PeerView view;
    for (const char *vm : {"east-a-1", "east-a-2", "east-a-3", "west-a-1"}) {
        policy::Peer peer;
        peer.vm = vm;
        peer.failureDomain = std::string(vm).substr(0, 6);
        view.peers.push_back(peer);
    }
    const std::string owner = peer::claimCandidates(view, "east-a").front();
    for (policy::Peer &peer : view.peers)
        peer.leaving = peer.vm == owner;
    const std::vector<std::string> candidates = peer::claimCandidates(view, "east-a");
    REQUIRE(candidates.size() == 3);
    REQUIRE(candidates.front() != owner);
    REQUIRE(candidates.back() == owner);
}
