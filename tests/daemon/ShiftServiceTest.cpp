#include "daemon/ShiftSimulation.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

enum class Event {
    None,
    EnforcerDies,
    EnforcerPauses,
    EnforcerUnheard,
    HolderDies,
    ViewsDiffer,
    CapLowered,
    CapRaised
};

struct Row
{
    const char *name;
    Event event;
    unsigned lossPercent;
    std::size_t capBefore;
    std::size_t capAfter;
};

void applyEvent(tests::ShiftSimulation &simulation, const Row &row)
{
    const std::size_t enforcer = simulation.enforcer(0);
    switch (row.event) {
    case Event::None:
        simulation.run(2s);
        return;
    case Event::EnforcerDies:
        simulation.kill(enforcer);
        // The other daemons detect the death at different times.
        for (std::size_t node = 0; node < 4; ++node) {
            simulation.run(500ms);
            if (node != enforcer)
                simulation.hide(node, enforcer);
        }
        return;
    case Event::HolderDies:
        simulation.kill((enforcer + 1) % 4);
        simulation.run(2500ms);
        for (std::size_t node = 0; node < 4; ++node) {
            if (node != (enforcer + 1) % 4)
                simulation.hide(node, (enforcer + 1) % 4);
        }
        return;
    case Event::EnforcerUnheard:
    case Event::EnforcerPauses:
        for (std::size_t node = 0; node < 4; ++node) {
            if (node != enforcer)
                simulation.hide(node, enforcer);
        }
        simulation.pause(enforcer, row.event == Event::EnforcerPauses);
        simulation.run(1900ms);
        simulation.pause(enforcer, false);
        simulation.run(6s);
        simulation.clearHidden();
        return;
    case Event::ViewsDiffer:
        for (std::size_t node = 0; node < 4; ++node) {
            if (node != enforcer)
                simulation.hide(node, enforcer);
            simulation.run(1500ms);
        }
        simulation.clearHidden();
        return;
    case Event::CapLowered:
    case Event::CapRaised:
        simulation.configure(2, static_cast<std::uint32_t>(row.capAfter), 7);
        // Time for permits of the old cap to expire and for their admissions to leave the window.
        simulation.run(1300ms);
        return;
    }
}

} // namespace

// Guards against admissions above the cap when the enforcer changes, daemons disagree about the
// enforcer, messages are lost or the cap changes, and against a cap that admits nothing afterwards.
TEST_CASE("Daemons of the destinations admit no more shifted requests than the cap")
{
    const Row row = GENERATE(Row {"steady", Event::None, 0, 20, 20},
                             Row {"lost messages", Event::None, 30, 20, 20},
                             Row {"enforcer dies", Event::EnforcerDies, 0, 20, 20},
                             Row {"enforcer dies, lost messages", Event::EnforcerDies, 30, 20, 20},
                             Row {"enforcer pauses", Event::EnforcerPauses, 0, 20, 20},
                             Row {"enforcer unheard", Event::EnforcerUnheard, 0, 20, 20},
                             Row {"holder dies", Event::HolderDies, 0, 20, 20},
                             Row {"views differ", Event::ViewsDiffer, 0, 20, 20},
                             Row {"views differ, lost messages", Event::ViewsDiffer, 20, 20, 20},
                             Row {"cap lowered", Event::CapLowered, 0, 40, 10},
                             Row {"cap lowered, lost messages", Event::CapLowered, 30, 40, 10},
                             Row {"cap raised", Event::CapRaised, 10, 10, 40},
                             Row {"closed", Event::CapLowered, 0, 20, 0});
    const std::uint32_t seed = GENERATE(1U, 2U, 3U);
    INFO(row.name << ", seed " << seed);
    tests::ShiftSimulation simulation(seed, row.lossPercent);
    const core::Instant start = simulation.clock.now();
    simulation.configure(1, static_cast<std::uint32_t>(row.capBefore), 7);
    simulation.run(7s);
    const core::Instant before = simulation.clock.now();
    REQUIRE(simulation.maxAdmittedPerSecond("west-a", start, before) >= row.capBefore / 2);
    applyEvent(simulation, row);
    const core::Instant after = simulation.clock.now();
    simulation.run(8s);
    const core::Instant end = simulation.clock.now();
    CHECK(simulation.maxAdmittedPerSecond("west-a", start, end)
          <= std::max(row.capBefore, row.capAfter));
    CHECK(simulation.maxAdmittedPerSecond("west-a", after, end) <= row.capAfter);
    CHECK(simulation.maxAdmittedPerSecond("west-b", start, end) <= 7);
    CHECK(simulation.maxAdmittedPerSecond("west-a", end - 2s, end) >= row.capAfter / 2);
    if (row.event == Event::HolderDies)
        CHECK(simulation.maxAdmittedPerSecond("west-a", after, after + 2s) >= row.capAfter / 2);
    CHECK(simulation.maxAdmittedPerSecond("west-b", end - 2s, end) >= 3);
}
