/// @file
/// The service as nickelrampctl sees it, on loopback.
#pragma once
#include <uv.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.h"

namespace nickelramp::test {

/// What one run of nickelrampctl came to.
struct CtlRun {
    int exit_code = -1;
    std::string out, err;
};

/// Answers requests with what a test prepares, keeps them, and runs commands of nickelrampctl.
class CtlService {
  public:
    /// Listens on that address, an IPv4 one of loopback with a port.
    explicit CtlService(const std::string& address);
    ~CtlService();
    CtlService(const CtlService&) = delete;
    CtlService& operator=(const CtlService&) = delete;

    /// Runs the command on a thread of its own while the service answers here.
    [[nodiscard]] CtlRun run(const std::vector<std::string>& arguments, const std::string& input);

    std::vector<net::Response> answers;  ///< In order; the last one again and again.
    std::vector<net::Request> requests;  ///< As they came.

  private:
    uv_loop_t loop_;
    std::unique_ptr<net::HttpServer> server_;
};

}  // namespace nickelramp::test
