/// @file
/// The fault that a request which was carried out and answered arrives once more.
#pragma once
#include <functional>
#include <string>

#include "tests/simulation_context.h"

namespace nickelramp::test {

/// Delivers copies of answered requests between a moment and minutes later, hence in any order with
/// newer requests, while either end may have restarted. Faults::repeated_requests is the share of
/// requests that it repeats. Nobody receives the reply to a copy.
class RequestRepeater {
  public:
    explicit RequestRepeater(SimulationContext& context) : context_(context) {}

    /// Notes that a request was answered. `deliver` delivers it once more.
    void on_answered(const std::string& kind, const std::function<void()>& deliver);

  private:
    void deliver_later(const std::string& kind, const std::function<void()>& deliver);

    SimulationContext& context_;
};

}  // namespace nickelramp::test
