// What is answered on a loop is handed on with the time at which it came.
#pragma once
#include <uv.h>

#include <utility>

#include "base/time.h"

namespace nickelramp::net {

template <typename Done>
auto with_time(uv_loop_t* loop, Done done) {
    return [loop, done = std::move(done)](const auto& r) {
        done(static_cast<Millis>(uv_now(loop)), r);
    };
}

}  // namespace nickelramp::net
