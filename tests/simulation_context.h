/// @file
/// The simulated time, random generator, faults and trace that all parts of a simulation share.
#pragma once
#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "tests/simulation_coverage.h"
#include "tests/simulation_faults.h"
#include "tests/trace.h"

namespace nickelramp::test {

/// The event queue in simulated time and the only random generator. Everything that happens in a
/// simulation is an event in this queue, so the seed determines the whole run.
class SimulationContext {
  public:
    SimulationContext(std::uint64_t seed, Faults injected)
        : faults(std::move(injected)), random_(seed) {}

    [[nodiscard]] Millis now() const { return now_; }
    /// Schedules an event. An event in the past is due immediately. Events at the same time run in
    /// the order in which they were scheduled.
    void at(Millis time, std::function<void()> event) { queue_.emplace(time, std::move(event)); }
    void after(Millis wait, std::function<void()> event) { at(now_ + wait, std::move(event)); }
    /// Advances the time to the next event or to `latest`, whichever is first, and runs all due
    /// events.
    void advance(Millis latest) {
        const Millis next = queue_.empty() ? latest : std::min(latest, queue_.begin()->first);
        now_ = std::max(now_, next);
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            const auto event = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            event();
        }
    }

    /// Returns true with the given probability.
    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
    }
    /// Returns a random duration from 1 to `most`.
    Millis delay(Millis most) {
        return 1 + static_cast<Millis>(random_() % static_cast<unsigned>(most));
    }
    std::mt19937_64& random() { return random_; }

    Trace trace;
    Faults faults;
    SimulationCoverage coverage;

  private:
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> queue_;
};

}  // namespace nickelramp::test
