/// @file
/// Emulates a network in which a request that was answered may arrive again.
#pragma once
#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>

#include "base/time.h"
#include "net/timer.h"

namespace nickelramp::emulator {

/// Delivers copies of answered requests, from at once to 16 s later and hence in any order with
/// newer requests. The copies get no reply.
class RequestRepeater {
  public:
    /// @param share the share of the offered requests that are repeated, after each of the delays.
    RequestRepeater(uv_loop_t* loop, double share, std::uint64_t seed);

    /// To be called once a request was answered. `deliver` delivers it again.
    void offer(const std::function<void()>& deliver);
    /// Returns the number of copies delivered so far.
    [[nodiscard]] std::uint64_t delivered() const { return delivered_; }

  private:
    [[nodiscard]] Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void deliver_due();

    uv_loop_t* loop_;
    const double share_;
    std::mt19937_64 random_;
    net::Timer timer_;
    std::multimap<Millis, std::function<void()>> due_;
    std::uint64_t delivered_ = 0;
};

}  // namespace nickelramp::emulator
