/// @file
/// Gives access to the clocks of one controller process: the libuv loop's time, the steady clock
/// and the wall clock.
#pragma once
#include <uv.h>

#include <cstdint>

#include "base/time.h"

namespace nickelramp::controller {

/// Reads the time for the components that own sockets or timers. All other code receives the time
/// as an argument. Used on the loop's thread only; the loop must outlive it.
class LoopClock {
  public:
    explicit LoopClock(uv_loop_t* loop) : loop_(loop) {}

    [[nodiscard]] uv_loop_t* loop() const { return loop_; }

    /// Returns the loop's cached time, which is updated once per loop iteration.
    [[nodiscard]] Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    /// Updates the loop's cached time and returns it. For decisions that must not use a time from
    /// before the process was suspended.
    [[nodiscard]] Millis updated_now() const {
        uv_update_time(loop_);
        return now();
    }

    /// Reads the steady clock. Lease checks use it because the loop's cached time may be from
    /// before the process was suspended.
    [[nodiscard]] static Millis steady_now() {
        constexpr std::uint64_t kNanosecondsPerMillisecond = 1'000'000;
        return static_cast<Millis>(uv_hrtime() / kNanosecondsPerMillisecond);
    }

    /// Returns the milliseconds since the Unix epoch, for records that other controllers read.
    [[nodiscard]] static std::int64_t wall_ms() {
        uv_timeval64_t time{};
        uv_gettimeofday(&time);
        return time.tv_sec * 1000 + time.tv_usec / 1000;
    }

  private:
    uv_loop_t* loop_;
};

}  // namespace nickelramp::controller
