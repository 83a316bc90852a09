#include "tests/emulator.h"

#include "net/timer.h"

namespace nickelramp::test {

bool run_until(uv_loop_t* loop, const std::function<bool()>& condition) {
    bool over = false;
    net::Timer limit(loop, [&] { over = true; });
    net::Timer beat(loop, [] {});
    limit.after(20'000);
    beat.every(5);
    while (!condition() && !over) uv_run(loop, UV_RUN_ONCE);
    return condition();
}

}  // namespace nickelramp::test
