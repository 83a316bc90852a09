/// @file
/// An HTTP server on loopback that stands in for the service in tests of nickelrampctl.
#pragma once
#include <uv.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "tests/event_loop.h"
#include "tests/reserved_ports.h"

namespace nickelramp::test {

/// The outcome of one run of nickelrampctl.
struct CtlRun {
    int exit_code = -1;
    std::string out, err;
};

/// Runs commands of nickelrampctl, records their requests and answers with prepared responses.
class CtlService {
  public:
    CtlService();
    CtlService(const CtlService&) = delete;
    CtlService& operator=(const CtlService&) = delete;

    /// Returns the address that stands for a controller in commands.
    std::string address() const { return port_.address(); }
    /// Runs the command on a separate thread and serves its requests on this one until it exits.
    [[nodiscard]] CtlRun run(const std::vector<std::string>& arguments, const std::string& input);

    std::vector<net::Response> answers;  ///< in order; the last one repeats
    std::vector<net::Request> requests;  ///< in order of arrival

  private:
    const ReservedPorts port_;
    EventLoop event_loop_;
    std::unique_ptr<net::HttpServer> server_;
};

}  // namespace nickelramp::test
