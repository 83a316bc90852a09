/// @file
/// Callbacks that need the time.
#pragma once
#include <uv.h>

#include <utility>

#include "base/time.h"

namespace nickelramp::net {

/// A callback that passes its argument on to done(now, argument), with the loop's time in
/// milliseconds at which it is called. For modules that have no clock of their own.
template <typename Done>
auto with_time(uv_loop_t* loop, Done done) {
    return [loop, done = std::move(done)](const auto& reply) {
        done(static_cast<Millis>(uv_now(loop)), reply);
    };
}

}  // namespace nickelramp::net
