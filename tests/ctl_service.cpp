#include "tests/ctl_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <sstream>
#include <thread>

#include "ctl/program.h"
#include "net/address.h"

namespace nickelramp::test {

CtlService::CtlService() {
    server_ = std::make_unique<net::HttpServer>(
        &event_loop_.loop, 8, [this](const net::Request& request, const net::Responder& responder) {
            requests.push_back(request);
            responder.send(answers[std::min(requests.size(), answers.size()) - 1]);
        });
    EXPECT_EQ(server_->listen(*net::parse_address(address())), 0);
}

CtlRun CtlService::run(const std::vector<std::string>& arguments, const std::string& input) {
    std::stringstream in(input), out, err;
    std::atomic<bool> over = false;
    CtlRun run;
    std::thread thread([&] {
        run.exit_code = ctl::run(arguments, in, out, err);
        over = true;
    });
    EXPECT_TRUE(event_loop_.until([&] { return over.load(); }));
    thread.join();
    run.out = out.str();
    run.err = err.str();
    return run;
}

}  // namespace nickelramp::test
