#include "tests/ctl_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <sstream>
#include <thread>

#include "ctl/program.h"
#include "net/address.h"
#include "tests/emulator.h"

namespace nickelramp::test {

CtlService::CtlService() {
    uv_loop_init(&loop_);
    server_ = std::make_unique<net::HttpServer>(
        &loop_, 8, [this](const net::Request& request, const net::Responder& responder) {
            requests.push_back(request);
            responder.send(answers[std::min(requests.size(), answers.size()) - 1]);
        });
    EXPECT_EQ(server_->listen(*net::parse_address(address())), 0);
}

CtlService::~CtlService() {
    server_.reset();
    // Closing takes up to two iterations.
    uv_run(&loop_, UV_RUN_NOWAIT);
    uv_run(&loop_, UV_RUN_NOWAIT);
    uv_loop_close(&loop_);
}

CtlRun CtlService::run(const std::vector<std::string>& arguments, const std::string& input) {
    std::stringstream in(input), out, err;
    std::atomic<bool> over = false;
    CtlRun run;
    std::thread thread([&] {
        run.exit_code = ctl::run(arguments, in, out, err);
        over = true;
    });
    EXPECT_TRUE(run_until(&loop_, [&] { return over.load(); }));
    thread.join();
    run.out = out.str();
    run.err = err.str();
    return run;
}

}  // namespace nickelramp::test
