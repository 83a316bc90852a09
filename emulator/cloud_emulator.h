// Emulates the cloud on loopback: provisions emulated workers, which begin after their boot time.
#pragma once
#include <uv.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "emulator/state_service_emulator.h"
#include "emulator/worker_emulator.h"
#include "net/http_server.h"
#include "net/timer.h"

namespace nickelramp::emulator {

struct CloudSettings {
    std::string type = "m64";
    double cpus = 64, gpus = 2, memory_gb = 256, boot_s = 5, requests_per_s = 0;
    std::vector<std::string> zones;
    std::size_t capacity = 0;  // machines in all; a third of them spot machines
};

class CloudEmulator {
  public:
    struct Counters {
        std::uint64_t requests = 0, refused = 0, rented = 0, returned = 0, listed = 0;
    };
    CloudEmulator(uv_loop_t* loop, CloudSettings settings, WorkerEmulator& workers,
                  std::uint64_t seed);
    int listen(const std::string& address);  // 0 or a libuv error
    // A machine stops by itself, with all that is on it.
    void fail_one();
    const Counters& counters() const { return counters_; }
    std::size_t machines() const { return machines_.size(); }

  private:
    struct Machine {
        std::size_t number = 0;
        std::string zone;
        bool spot = false, failed = false;
        Millis rented_at = 0, up_at = 0;
        bool up = false;
    };
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void handle(const net::Request& request, const net::Responder& responder);
    void rent(const wire::Json& body, const net::Responder& responder);
    void take_back(const wire::Json& body, const net::Responder& responder);
    void list(const net::Request& request, const net::Responder& responder) const;
    wire::Json types() const;
    void boot();

    uv_loop_t* loop_;
    const CloudSettings settings_;
    WorkerEmulator& workers_;
    std::mt19937_64 random_;
    net::HttpServer server_;
    net::Timer boot_timer_;
    RateLimit limit_;
    std::map<std::string, Machine> machines_;
    std::multimap<Millis, std::string> boots_;
    std::map<std::string, std::vector<std::string>> rentals_;  // by request
    std::set<std::size_t> free_[2];                            // numbers; ordinary, spot
    std::size_t last_name_ = 0;
    Counters counters_;
};

}  // namespace nickelramp::emulator
