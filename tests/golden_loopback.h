/// @file
/// Sends and receives raw bytes on loopback connections, for the tests of recorded bytes.
#pragma once
#include <uv.h>

#include <atomic>
#include <string>
#include <thread>

namespace nickelramp::test::golden {

/// Accepts connections on a loopback address until it has received one complete request, answers it
/// and keeps its bytes.
class Listener {
  public:
    Listener(const std::string& address, std::string answer);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    bool request_received() const { return request_received_; }
    const std::string& request() const { return request_; }  ///< valid once request_received()

  private:
    void run();

    int socket_ = -1;
    std::string answer_, request_;
    std::atomic<bool> request_received_ = false;
    std::thread thread_;
};

/// Sends the bytes to an address that the loop serves. Returns what is received until the
/// connection closes.
std::string exchange(uv_loop_t* loop, const std::string& server, const std::string& bytes);

}  // namespace nickelramp::test::golden
