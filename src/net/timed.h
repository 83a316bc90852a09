/// @file
/// Adapter for reply callbacks that adds the time at which the reply was received.
#pragma once
#include <uv.h>

#include <utility>

#include "base/time.h"

namespace nickelramp::net {

/// Returns a callback that takes a reply and calls done(now, reply) with the loop's current time.
template <typename Done>
auto with_time(uv_loop_t* loop, Done done) {
    return [loop, done = std::move(done)](const auto& r) {
        done(static_cast<Millis>(uv_now(loop)), r);
    };
}

}  // namespace nickelramp::net
