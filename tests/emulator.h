/// @file
/// Helpers for tests against the emulated state service on loopback.
#pragma once
#include <uv.h>

#include <functional>

#include "emulator/state_service_emulator.h"

namespace nickelramp::test {

using StateServiceEmulator = emulator::StateServiceEmulator;

/// Runs the loop until the condition holds.
/// @return whether it held within 20 s.
bool run_until(uv_loop_t* loop, const std::function<bool()>& condition);

}  // namespace nickelramp::test
