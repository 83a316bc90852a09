// Raw bytes of connections on loopback, for the tests of recorded bytes.
#pragma once
#include <uv.h>

#include <atomic>
#include <string>
#include <thread>

namespace nickelramp::test::golden {

// Takes connections on a port of loopback until it has heard one request whole, answers that and
// keeps its bytes.
class Listener {
  public:
    Listener(int port, std::string answer);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    bool heard() const { return heard_; }
    const std::string& request() const { return request_; }  // once it was heard

  private:
    void run();

    int socket_ = -1;
    std::string answer_, request_;
    std::atomic<bool> heard_ = false;
    std::thread thread_;
};

// Sends the bytes to a port that the loop serves; what comes back until the connection closes.
std::string exchange(uv_loop_t* loop, int port, const std::string& bytes);

}  // namespace nickelramp::test::golden
