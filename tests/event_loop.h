/// @file
/// An event loop for tests on loopback.
#pragma once
#include <uv.h>

#include <functional>

#include "tests/emulator.h"

namespace nickelramp::test {

/// Owns a loop. As a base of a fixture, it closes the loop after the fixture's members, which use
/// the loop, are destroyed.
struct EventLoop {
    EventLoop() { uv_loop_init(&loop); }
    ~EventLoop() {
        // Closing handles takes up to two iterations.
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_loop_close(&loop);
    }
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs the loop until the condition holds.
    /// @return whether it held within the time that `run_until()` allows.
    bool until(const std::function<bool()>& condition) { return run_until(&loop, condition); }

    uv_loop_t loop;
};

}  // namespace nickelramp::test
