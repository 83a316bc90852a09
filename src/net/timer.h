/// @file
/// A libuv timer that calls a function.
#pragma once
#include <uv.h>

#include <functional>

#include "base/time.h"

namespace nickelramp::net {

/// Owns a libuv timer. Must be used on the loop's thread only.
class Timer {
  public:
    Timer(uv_loop_t* loop, std::function<void()> fire) : handle_(new Handle{{}, std::move(fire)}) {
        uv_timer_init(loop, &handle_->timer);
        handle_->timer.data = handle_;
    }
    ~Timer() {
        uv_close(reinterpret_cast<uv_handle_t*>(&handle_->timer),
                 [](uv_handle_t* h) { delete static_cast<Handle*>(h->data); });
    }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Starts or restarts the timer to call the function once.
    void after(Millis delay) { start(delay, 0); }
    /// Starts or restarts the timer to call the function once per period.
    void every(Millis period) { start(period, period); }
    void stop() { uv_timer_stop(&handle_->timer); }

  private:
    struct Handle {
        uv_timer_t timer;
        std::function<void()> fire;
    };
    void start(Millis delay, Millis repeat) {
        uv_timer_start(
            &handle_->timer, [](uv_timer_t* t) { static_cast<Handle*>(t->data)->fire(); },
            static_cast<std::uint64_t>(delay < 0 ? 0 : delay), static_cast<std::uint64_t>(repeat));
    }
    Handle* handle_;
};

}  // namespace nickelramp::net
