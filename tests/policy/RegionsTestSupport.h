#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace sardinehollow::tests {

/** One step of a state machine test: an action, the object that it affects and an amount. */
struct Step
{
    std::uint32_t action = 0;
    std::size_t subject = 0;
    std::uint32_t amount = 0;
};

inline std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << '{' << step.action << ',' << step.subject << ',' << step.amount << '}';
}

/** Generates a sequence of count steps with actions from 0 to actions - 1. */
inline rc::Gen<std::vector<Step>> steps(std::size_t count, std::uint32_t actions)
{
    return rc::gen::container<std::vector<Step>>(
            count,
            rc::gen::build<Step>(
                    rc::gen::set(&Step::action, rc::gen::inRange<std::uint32_t>(0, actions)),
                    rc::gen::set(&Step::subject, rc::gen::inRange<std::size_t>(0, 60)),
                    rc::gen::set(&Step::amount, rc::gen::inRange<std::uint32_t>(0, 100))));
}

/** Messages in transit; each may arrive out of order, not at all or more than once. */
template <typename Message>
class Network
{
public:
    void send(Message message) { m_messages.push_back(std::move(message)); }

    /** Returns a message and removes it; with keep, it stays and may arrive again. */
    std::optional<Message> receive(std::size_t choice, bool keep = false)
    {
        if (m_messages.empty())
            return std::nullopt;
        // Mostly one of the newest, since old messages have no effect any more and would prevail.
        constexpr std::size_t newest = 6;
        const std::size_t range
                = choice % 10 == 0 ? m_messages.size() : std::min(m_messages.size(), newest);
        const auto position = m_messages.end() - 1 - static_cast<std::ptrdiff_t>(choice % range);
        std::optional<Message> message(*position);
        if (!keep)
            m_messages.erase(position);
        return message;
    }

private:
    std::vector<Message> m_messages;
};

/** Time on the clock of a daemon; the clocks differ in origin and by up to 4% in rate. */
inline core::Instant localTime(core::Instant time, std::size_t daemon)
{
    const std::int64_t perMille = 980 + 20 * static_cast<std::int64_t>(daemon % 3);
    return time / 1000 * perMille + std::chrono::seconds(100 * daemon);
}

} // namespace sardinehollow::tests
