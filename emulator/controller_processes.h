/// @file
/// Runs real controllers on loopback as child processes of the built program, and reads each
/// one's processor time, memory and open files from the kernel. The children are killed when this
/// process ends, even if it crashes.
#pragma once
#include <sys/types.h>

#include <string>
#include <vector>

#include "base/time.h"
#include "wire/cbor.h"

namespace nickelramp::emulator {

/// How to start the controllers of a run.
struct ControllerSettings {
    std::string program, directory;  ///< the built program; folder for settings and logs
    std::size_t count = 3;
    int first_port = 0;  ///< each controller uses two ports
    std::vector<std::string> zones;
    std::string cloud, state;  ///< addresses of the cloud and the state service
    wire::Json facts;          ///< `facts` of the settings file
};

/// Resource usage of one process as the kernel reports it.
struct Usage {
    double processor_s = 0, memory_mb = 0;
    std::size_t files = 0;  ///< open file descriptors
};
/// Returns the usage so far; all zero if there is no such process.
Usage usage_of(pid_t pid);

/// The controller processes of one run; kills them when destroyed.
class ControllerProcesses {
  public:
    explicit ControllerProcesses(ControllerSettings settings);
    ~ControllerProcesses();
    ControllerProcesses(const ControllerProcesses&) = delete;
    ControllerProcesses& operator=(const ControllerProcesses&) = delete;

    /// @return an error message; empty on success.
    std::string start_all();
    /// Kills controller `i` with SIGKILL and waits for its end.
    void kill(std::size_t i);
    /// @return an error message; empty on success.
    std::string start(std::size_t i);
    /// Returns how many controllers have exited so far without kill().
    std::size_t unexpected_exits();

    std::size_t size() const { return settings_.count; }
    std::string name(std::size_t i) const { return "ramper-" + std::to_string(i); }
    std::string zone(std::size_t i) const { return settings_.zones[i % settings_.zones.size()]; }
    /// Address on which controller `i` serves workers and users.
    std::string address(std::size_t i) const { return at(i, 0); }
    /// 0 if controller `i` is not running.
    pid_t pid(std::size_t i) const { return pids_[i]; }

  private:
    // Address of controller `i` with its first (0) or second (1) port.
    std::string at(std::size_t i, int port) const;
    // Writes the settings file of controller `i` and returns its path.
    std::string write_settings(std::size_t i) const;

    const ControllerSettings settings_;
    std::vector<pid_t> pids_;  // 0: not running
    std::size_t unexpected_exits_ = 0;
};

}  // namespace nickelramp::emulator
