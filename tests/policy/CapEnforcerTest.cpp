#include "sardinehollow_policy/shift/CapEnforcer.h"

#include "RegionsTestSupport.h"

#include "sardinehollow_policy/shift/LocalPermits.h"

#include <array>
#include <deque>

using namespace sardinehollow;
using namespace sardinehollow::policy;
using namespace sardinehollow::tests;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration lifetime = 300ms;
constexpr core::Duration holdOff = 3300ms;

LocalPermits makeLocalPermits(const std::string &vm)
{
    LocalPermitsSettings settings;
    settings.shift = "shift";
    settings.holder = {vm, 1};
    return LocalPermits(settings);
}

CapEnforcer makeEnforcer(std::uint64_t incarnation, core::Instant now)
{
    CapEnforcerSettings settings;
    settings.shift = "shift";
    settings.incarnation = incarnation;
    return CapEnforcer(settings, now);
}

/** Returns an enforcer whose hold-off has ended, advanced to time 10 s. */
CapEnforcer readyEnforcer(std::uint32_t cap)
{
    CapEnforcer enforcer = makeEnforcer(1, 0s);
    enforcer.setCap(cap, 1, 0s);
    for (core::Instant now = 0s; now <= 10s; now += 1s)
        enforcer.advance(now);
    return enforcer;
}

/** One cap enforcer, several other daemons and a network that loses and repeats messages. */
class CapSimulation
{
public:
    static constexpr std::size_t holders = 3;
    static constexpr std::uint32_t actions = 20;

    CapSimulation()
    {
        for (std::size_t index = 0; index < holders; ++index)
            m_localPermits.push_back(makeLocalPermits(std::to_string(index)));
        m_enforcer->setCap(10, 1, enforcerTime());
        for (int second = 0; second < 4; ++second) {
            m_now += 1s;
            m_enforcer->advance(recordEnforcerCall());
        }
    }

    void apply(const Step &step)
    {
        using Self = CapSimulation;
        static constexpr std::array<void (Self::*)(const Step &), actions> table {
                &Self::takeOverOrPause,    &Self::changeCap,
                &Self::loseMessage,        &Self::discardPermits,
                &Self::learnConfiguration, &Self::admitAtEnforcer,
                &Self::usePermits,         &Self::usePermits,
                &Self::usePermits,         &Self::usePermits,
                &Self::answerRequests,     &Self::answerRequests,
                &Self::answerRequests,     &Self::deliverGrants,
                &Self::deliverGrants,      &Self::deliverGrants,
                &Self::passTime,           &Self::passTime,
                &Self::passTime,           &Self::passTime};
        (this->*table.at(step.action))(step);
    }

private:
    struct Cap
    {
        std::uint64_t generation = 1;
        std::uint32_t perSecond = 10;
        core::Instant replaced = core::Instant::max();
    };

    struct Answer
    {
        std::size_t holder = 0;
        PermitGrant grant;
    };

    /** Generation that a holder last acknowledged, and until when the holder may have permits. */
    struct HolderRecord
    {
        std::uint64_t generation = 0;
        core::Instant until {0};
    };

    core::Instant enforcerTime() const { return localTime(m_now, 1); }
    core::Instant holderTime(std::size_t index) const { return localTime(m_now, index); }

    core::Instant recordEnforcerCall()
    {
        if (enforcerTime() - m_lastEnforcerCall > 2s)
            m_holdOffUntil = enforcerTime() + holdOff;
        m_lastEnforcerCall = enforcerTime();
        updateBindingGeneration();
        return m_lastEnforcerCall;
    }

    /**
     * A cap no longer binds once no holder has permits of its generation: permits granted later
     * count against the newer cap.
     */
    void updateBindingGeneration()
    {
        std::uint64_t oldest = m_caps.back().generation;
        for (const HolderRecord &record : m_holderRecords) {
            if (record.until > m_lastEnforcerCall)
                oldest = std::min(oldest, record.generation);
        }
        m_bindingGeneration = std::max(m_bindingGeneration, oldest);
    }

    /** The old enforcer counts as dead 2 s after its last message, but may come back. */
    void takeOverOrPause(const Step &step)
    {
        // Must be rare, because nothing is admitted during the hold-off that follows.
        if (step.amount >= 10)
            return;
        m_now += 2100ms;
        if (step.amount < 5)
            return;
        CapEnforcer old = *m_enforcer;
        m_lastEnforcerCall = enforcerTime();
        m_holdOffUntil = m_lastEnforcerCall + holdOff;
        m_enforcer.emplace(makeEnforcer(++m_incarnation, m_lastEnforcerCall));
        m_enforcer->setCap(m_caps.back().perSecond, m_caps.back().generation, m_lastEnforcerCall);
        m_holderRecords = {};
        // The hold-off of a new enforcer covers the earlier caps.
        m_bindingGeneration = m_caps.back().generation;
        RC_ASSERT_FALSE(old.admit(enforcerTime()));
        if (const auto message = m_requests.receive(step.subject, true)) {
            const auto grant = old.onRequest(*message, enforcerTime());
            RC_ASSERT(!grant || grant->added == 0);
        }
    }

    void changeCap(const Step &step)
    {
        if (step.amount >= 20)
            return;
        const core::Instant now = recordEnforcerCall();
        m_caps.back().replaced = m_now;
        m_caps.push_back({m_caps.back().generation + 1, step.amount % 20});
        m_enforcer->setCap(m_caps.back().perSecond, m_caps.back().generation, now);
    }

    void loseMessage(const Step &step)
    {
        if (step.amount < 50)
            m_requests.receive(step.subject);
        else
            m_grants.receive(step.subject);
    }

    void discardPermits(const Step &step)
    {
        if (step.amount < 20)
            m_localPermits[step.subject % holders].discardAll();
    }

    /** A daemon learns of the current configuration. */
    void learnConfiguration(const Step &step)
    {
        m_knownGenerations[step.subject % holders] = m_caps.back().generation;
    }

    void admitAtEnforcer(const Step &)
    {
        const core::Instant now = recordEnforcerCall();
        checkCapInForce();
        if (!m_enforcer->admit(now))
            return;
        RC_ASSERT(now >= m_holdOffUntil);
        recordAdmission();
    }

    void usePermits(const Step &step)
    {
        const std::size_t index = step.subject % holders;
        for (std::uint32_t count = 0; count < step.amount % 8; ++count) {
            if (m_localPermits[index].usePermit(holderTime(index)))
                recordAdmission();
        }
    }

    void passTime(const Step &step)
    {
        m_now += step.amount * (step.subject % 8 == 0 ? 10ms : 1ms);
        for (std::size_t index = 0; index < holders; ++index) {
            const auto message = m_localPermits[index].nextRequest(
                    step.subject % 3 == 0 ? step.amount % 8 : 12, m_knownGenerations[index],
                    holderTime(index));
            if (message)
                m_requests.send(*message);
        }
    }

    void answerRequests(const Step &step)
    {
        for (std::size_t count = 0; count < holders; ++count) {
            const auto message = m_requests.receive(step.subject + count, step.amount < 20);
            const core::Instant now = recordEnforcerCall();
            const auto grant = message ? m_enforcer->onRequest(*message, now) : std::nullopt;
            if (!grant)
                continue;
            RC_ASSERT(grant->added == 0 || now >= m_holdOffUntil);
            const std::size_t index = std::stoul(message->holder.vm);
            HolderRecord &record = m_holderRecords[index];
            // The request first reports which permits the holder has left; the grant adds to them.
            record.generation = message->generation;
            if (message->holding == 0)
                record.until = now;
            updateBindingGeneration();
            if (grant->added > 0)
                record.until = now + lifetime;
            checkCapInForce();
            m_grants.send({index, *grant});
        }
    }

    void deliverGrants(const Step &step)
    {
        for (std::size_t count = 0; count < holders; ++count) {
            const auto message = m_grants.receive(step.subject + count, step.amount < 20);
            if (message)
                m_localPermits[message->holder].onGrant(message->grant,
                                                        holderTime(message->holder));
        }
    }

    /** The cap must be the lowest that any holder with permits may still regard as current. */
    void checkCapInForce() const
    {
        std::uint32_t lowest = m_caps.back().perSecond;
        for (const Cap &cap : m_caps) {
            if (cap.generation >= m_bindingGeneration)
                lowest = std::min(lowest, cap.perSecond);
        }
        RC_ASSERT(m_enforcer->cap() <= lowest);
    }

    /** Checks that the admissions of the last second at all daemons stay within the cap. */
    void recordAdmission()
    {
        m_admissions.push_back(m_now);
        while (m_now - m_admissions.front() > 1s)
            m_admissions.pop_front();
        std::uint32_t highest = 0;
        for (const Cap &cap : m_caps) {
            // Permits granted under a cap may be used, and count, for some time after it was
            // replaced.
            if (cap.replaced >= m_now - 1s - lifetime * 2)
                highest = std::max(highest, cap.perSecond);
        }
        RC_ASSERT(m_admissions.size() <= highest);
    }

    core::Instant m_now = 100s;
    core::Instant m_lastEnforcerCall = enforcerTime();
    core::Instant m_holdOffUntil = m_lastEnforcerCall + holdOff;
    std::uint64_t m_incarnation = 1;
    /** Caps of generations before this one no longer bind. */
    std::uint64_t m_bindingGeneration = 1;
    std::optional<CapEnforcer> m_enforcer {makeEnforcer(1, m_lastEnforcerCall)};
    std::vector<Cap> m_caps {Cap {}};
    std::vector<LocalPermits> m_localPermits;
    std::array<std::uint64_t, holders> m_knownGenerations {1, 1, 1};
    std::array<HolderRecord, holders> m_holderRecords {};
    Network<PermitRequest> m_requests;
    Network<Answer> m_grants;
    std::deque<core::Instant> m_admissions;
};

} // namespace

TEST_CASE("Shifted requests of all daemons stay within the cap in any second under faults")
{
    REQUIRE(rc::check("cap", [] {
        CapSimulation simulation;
        for (const Step &step : *steps(400, CapSimulation::actions))
            simulation.apply(step);
    }));
}

TEST_CASE("The window of one second includes both of its ends")
{
    struct Row
    {
        core::Duration gap;
        bool admitted;
    };
    const auto row = GENERATE(values<Row>({{0ns, false}, {1s, false}, {1s + 1ns, true}}));
    CapEnforcer enforcer = readyEnforcer(2);
    REQUIRE(enforcer.admit(10s));
    REQUIRE(enforcer.admit(10s));
    REQUIRE(enforcer.admit(10s + row.gap) == row.admitted);
}

TEST_CASE("A cap enforcer admits nothing during its hold-off")
{
    CapEnforcer enforcer = makeEnforcer(1, 0s);
    enforcer.setCap(5, 1, 0s);
    REQUIRE_FALSE(enforcer.admit(1500ms));
    REQUIRE_FALSE(enforcer.admit(holdOff - 1ns));
    REQUIRE(enforcer.admit(holdOff));
    REQUIRE_FALSE(enforcer.admit(holdOff + 2s + 1ns));
}

TEST_CASE("The lower of two caps applies until the holder acknowledges or its permits expire")
{
    struct Row
    {
        std::uint32_t before;
        std::uint32_t after;
        bool acknowledged;
        core::Instant time;
        std::uint32_t inForce;
    };
    const auto row = GENERATE(values<Row>({
            {5, 9, false, 10100ms, 5},
            {5, 9, true, 10100ms, 9},
            {5, 9, false, 10300ms, 9},
            {9, 5, false, 10100ms, 5},
            {9, 5, true, 10100ms, 5},
    }));
    CapEnforcer enforcer = readyEnforcer(row.before);
    REQUIRE(enforcer.onRequest({"shift", {"vm", 1}, 0, 1, 1, 2, 0, 0}, 10s)->added == 2);
    enforcer.setCap(row.after, 2, 10s);
    if (row.acknowledged)
        enforcer.onRequest({"shift", {"vm", 1}, 1, 2, 2, 2, 2, 0}, 10100ms);
    enforcer.advance(row.time);
    REQUIRE(enforcer.cap() == row.inForce);
    enforcer.setCap(1, 1, row.time);
    REQUIRE(enforcer.cap() == row.inForce);
}

TEST_CASE(
        "Permits count until reported lost or one second after their reported or last possible use")
{
    struct Row
    {
        std::uint32_t holding;
        std::uint64_t spent;
        core::Instant time;
        std::uint32_t occupied;
    };
    // Four permits were granted at 10 s; the report arrives at 10.1 s.
    const auto row = GENERATE(values<Row>({
            {4, 0, 10100ms, 4},
            {1, 3, 10100ms, 4},
            {1, 3, 11100ms + 1ns, 1},
            {1, 3, 11300ms + 1ns, 0},
            {0, 0, 10100ms, 0},
            {0, 4, 11100ms, 4},
            {0, 4, 11100ms + 1ns, 0},
    }));
    CapEnforcer enforcer = readyEnforcer(10);
    REQUIRE(enforcer.onRequest({"shift", {"vm", 1}, 0, 1, 1, 4, 0, 0}, 10s)->added == 4);
    enforcer.onRequest({"shift", {"vm", 1}, 1, 1, 2, 0, row.holding, row.spent}, 10100ms);
    enforcer.advance(row.time);
    REQUIRE(enforcer.occupied() == row.occupied);
}

TEST_CASE("Uses that were counted at an expiry are not deducted from permits granted later")
{
    CapEnforcer enforcer = readyEnforcer(10);
    REQUIRE(enforcer.onRequest({"shift", {"vm", 1}, 0, 1, 1, 2, 0, 0}, 10s)->added == 2);
    // Sent before the permits expired and were used, but arrives afterwards.
    REQUIRE(enforcer.onRequest({"shift", {"vm", 1}, 1, 1, 2, 4, 2, 0}, 10350ms)->added == 2);
    enforcer.onRequest({"shift", {"vm", 1}, 1, 1, 3, 2, 2, 2}, 10400ms);
    enforcer.advance(11500ms);
    REQUIRE(enforcer.occupied() == 2);
}

TEST_CASE("Permits are used only while they are valid on any clock, and only those of one enforcer")
{
    struct Row
    {
        PermitGrant second;
        core::Instant time;
        std::uint32_t permits;
    };
    // Three permits were requested at 1 s, two more at 1.1 s; they are valid for 250 ms.
    const auto row = GENERATE(values<Row>({
            {{"shift", 7, 2, 2, lifetime}, 1349ms, 5},
            {{"shift", 7, 2, 2, lifetime}, 1350ms, 0},
            {{"shift", 7, 2, 0, lifetime}, 1249ms, 3},
            {{"shift", 7, 2, 0, lifetime}, 1250ms, 0},
            {{"shift", 8, 2, 2, lifetime}, 1349ms, 2},
            {{"shift", 7, 1, 2, lifetime}, 1249ms, 3},
    }));
    LocalPermits localPermits = makeLocalPermits("vm");
    REQUIRE(localPermits.nextRequest(3, 1, 1s));
    localPermits.onGrant({"shift", 7, 1, 3, lifetime}, 1090ms);
    localPermits.onGrant({"shift", 7, 1, 3, lifetime}, 1090ms);
    REQUIRE(localPermits.nextRequest(5, 1, 1100ms)->holding == 3);
    localPermits.onGrant(row.second, 1200ms);
    REQUIRE(localPermits.permits(row.time) == row.permits);
    localPermits.discardAll();
    REQUIRE_FALSE(localPermits.usePermit(row.time));
}

TEST_CASE("Holders that request permits share the free ones")
{
    CapEnforcer enforcer = readyEnforcer(12);
    enforcer.onRequest({"shift", {"idle", 1}, 0, 1, 1, 0, 0, 0}, 10s);
    REQUIRE(enforcer.onRequest({"shift", {"first", 1}, 0, 1, 1, 4, 0, 0}, 10s)->added == 4);
    REQUIRE(enforcer.onRequest({"shift", {"second", 1}, 0, 1, 1, 20, 0, 0}, 10s)->added == 4);
    REQUIRE(enforcer.onRequest({"shift", {"third", 1}, 0, 1, 1, 20, 0, 0}, 10s)->added == 1);
}
