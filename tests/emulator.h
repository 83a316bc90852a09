// The stand-ins on loopback, for tests.
#pragma once
#include <uv.h>

#include <functional>

#include "emulator/state_service_emulator.h"

namespace nickelramp::test {

using StateServiceEmulator = emulator::StateServiceEmulator;

// Runs the loop until the condition holds; false if it never does.
bool run_until(uv_loop_t* loop, const std::function<bool()>& condition);

}  // namespace nickelramp::test
