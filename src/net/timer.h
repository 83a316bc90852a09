/// @file
/// Timers on libuv.
#pragma once
#include <uv.h>

#include <functional>
#include <utility>

#include "base/time.h"

namespace nickelramp::net {

/// Calls a function after a delay or at an interval, in milliseconds. The function is not called
/// after the timer is gone, and may itself destroy the timer: libuv keeps both until the handle is
/// closed. To be used on the loop's thread only.
class Timer {
  public:
    Timer(uv_loop_t* loop, std::function<void()> on_timeout)
        : state_(new State{{}, std::move(on_timeout)}) {
        uv_timer_init(loop, &state_->handle);
        state_->handle.data = state_;
    }
    ~Timer() {
        uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
                 [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
    }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Each replaces an earlier call of either. A negative delay is none.
    void after(Millis delay) { start(delay, 0); }
    void every(Millis interval) { start(interval, interval); }
    void stop() { uv_timer_stop(&state_->handle); }

  private:
    struct State {
        uv_timer_t handle;
        std::function<void()> on_timeout;
    };
    void start(Millis delay, Millis interval) {
        uv_timer_start(
            &state_->handle,
            [](uv_timer_t* timer) { static_cast<State*>(timer->data)->on_timeout(); },
            static_cast<std::uint64_t>(delay < 0 ? 0 : delay),
            static_cast<std::uint64_t>(interval));
    }

    State* state_;  // deleted once libuv has closed the handle
};

}  // namespace nickelramp::net
