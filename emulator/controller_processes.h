// The real controllers of a scale run: child processes of the built program on loopback, and what
// the kernel says of each: processor time, memory, open files. All of them end with this process,
// however it ends.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

#include "base/time.h"
#include "wire/cbor.h"

namespace nickelramp::emulator {

struct ControllerSettings {
    std::string program, directory;  // the built program; where settings and logs go
    std::size_t count = 3;
    int first_port = 0;  // two for each
    std::vector<std::string> zones;
    std::string cloud, state;  // addresses
    wire::Json facts;          // as the platform's settings file has them
};

// Of one process, by the kernel's accounts.
struct Usage {
    double processor_s = 0, memory_mb = 0;
    std::size_t files = 0;
};
Usage usage_of(pid_t pid);

class ControllerProcesses {
  public:
    explicit ControllerProcesses(ControllerSettings settings);
    ~ControllerProcesses();
    ControllerProcesses(const ControllerProcesses&) = delete;
    ControllerProcesses& operator=(const ControllerProcesses&) = delete;

    // Empty, or what went wrong.
    std::string start_all();
    void kill(std::size_t i);
    std::string start(std::size_t i);
    // How many have ended that nobody killed.
    std::size_t ended_by_themselves();

    std::size_t size() const { return settings_.count; }
    std::string name(std::size_t i) const { return "ramper-" + std::to_string(i); }
    std::string zone(std::size_t i) const { return settings_.zones[i % settings_.zones.size()]; }
    std::string address(std::size_t i) const { return at(i, 0); }
    pid_t pid(std::size_t i) const { return pids_[i]; }

  private:
    std::string at(std::size_t i, int port) const;
    std::string write_settings(std::size_t i) const;

    const ControllerSettings settings_;
    std::vector<pid_t> pids_;  // 0: not running
    std::size_t ended_ = 0;
};

}  // namespace nickelramp::emulator
