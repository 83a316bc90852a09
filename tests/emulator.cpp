#include "tests/emulator.h"

#include "net/timer.h"

namespace nickelramp::test {

bool run_until(uv_loop_t* loop, const std::function<bool()>& condition) {
    bool timed_out = false;
    net::Timer limit(loop, [&] { timed_out = true; });
    // Ends each uv_run(), so that the condition is checked every 5 ms.
    net::Timer wake_up(loop, [] {});
    limit.after(20'000);
    wake_up.every(5);
    while (!condition() && !timed_out) uv_run(loop, UV_RUN_ONCE);
    return condition();
}

}  // namespace nickelramp::test
