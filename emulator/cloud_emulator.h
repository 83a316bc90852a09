/// @file
/// Emulates the cloud's API on loopback. A machine that it provisions becomes an emulated worker
/// after its boot time.
#pragma once
#include <uv.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "emulator/request_repeater.h"
#include "emulator/state_service_emulator.h"
#include "emulator/worker_emulator.h"
#include "net/http_server.h"
#include "net/timer.h"

namespace nickelramp::emulator {

/// What the emulated cloud offers: one machine type in several zones.
struct CloudSettings {
    std::string type = "m64";  ///< name of the machine type
    /// A requests_per_s of 0 stands for no limit.
    double cpus = 64, gpus = 2, memory_gb = 256, boot_s = 5, requests_per_s = 0;
    std::vector<std::string> zones;
    std::size_t capacity = 0;      ///< machines in total, a third of them spot machines
    double repeated_requests = 0;  ///< share of changing requests that arrive again
};

/// The cloud's HTTP API with its request limit, backed by WorkerEmulator.
class CloudEmulator {
  public:
    /// Totals since the start.
    struct Counters {
        std::uint64_t requests = 0, refused = 0, provisioned = 0, returned = 0, listed = 0;
    };
    CloudEmulator(uv_loop_t* loop, CloudSettings settings, WorkerEmulator& workers,
                  std::uint64_t seed);
    /// @return 0 or a libuv error.
    int listen(const std::string& address);
    /// Fails a random running machine, with all its tasks. The cloud lists it as failed until a
    /// controller returns it.
    void fail_one();
    const Counters& counters() const { return counters_; }
    [[nodiscard]] std::uint64_t copies() const { return repeater_.delivered(); }
    /// Number of machines that are provisioned, including failed ones.
    std::size_t machines() const { return machines_.size(); }

  private:
    struct Machine {
        std::size_t number = 0;
        std::string zone;
        bool spot = false, failed = false;
        Millis provisioned_at = 0, up_at = 0;
        bool up = false;
    };
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void receive(const net::Request& request, const net::Responder& responder);
    void handle(const net::Request& request, const net::Responder& responder);
    void provision(const wire::Json& body, const net::Responder& responder);
    void release_machines(const wire::Json& body, const net::Responder& responder);
    void list(const net::Request& request, const net::Responder& responder) const;
    wire::Json types() const;
    // Starts the workers of machines whose boot time is over.
    void boot();

    uv_loop_t* loop_;
    const CloudSettings settings_;
    WorkerEmulator& workers_;
    std::mt19937_64 random_;
    net::HttpServer server_;
    net::Timer boot_timer_;
    RequestRepeater repeater_;
    RateLimit limit_;
    std::map<std::string, Machine> machines_;
    std::multimap<Millis, std::string> boots_;  // machine names by end of boot
    std::map<std::string, std::vector<std::string>> provisioned_by_request_;
    std::set<std::size_t> free_[2];  // numbers of free machines: on-demand, spot
    std::size_t last_name_ = 0;
    Counters counters_;
};

}  // namespace nickelramp::emulator
