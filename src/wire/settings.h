/// @file
/// A controller's settings file. It is JSON, is provided by the platform and is read once at
/// startup.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/result.h"

namespace nickelramp::wire {

inline constexpr double kBytesPerKilobyte = 1024;

/// Another controller. Addresses in this file are IPv4 with a port, as read by net::parse_address.
struct Peer {
    std::string name, zone, address;
};

/// A team's guaranteed resources and its quota (`_max`). 0 means no guarantee or no limit.
struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

/// A service-level objective for jobs of a class. An empty class stands for all classes.
struct Objective {
    enum class Kind {
        wait,      ///< a job starts within `within_s` seconds of its acceptance
        finished,  ///< a job ends within `within_s` seconds of its acceptance
        deadline,  ///< a job ends within its deadline multiplied by `times`
        guarantee  ///< read but not evaluated
    };
    Kind kind = Kind::wait;
    std::string job_class;
    /// `share` is read but not evaluated.
    double within_s = 0, times = 1, share = 0;
};

struct Settings {
    /// Name and zone of this controller, its listen address for users and workers, and its listen
    /// address for peers.
    std::string name, zone, listen, peer_listen;
    std::vector<Peer> peers;
    /// Addresses of the cloud and of the key-value store.
    std::string cloud, state_service;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    /// Timing of workers in seconds: the heartbeat interval, the lease duration, how long a gang's
    /// tasks wait for each other, how long a task keeps running without the others of its gang, and
    /// the time within which a cancellation must be final (longer than the lease).
    double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
    /// Limits of the key-value store, shared by all controllers: requests and writes per second,
    /// size of a value, and operations per transaction (at least 4).
    double state_requests_per_s = 0, state_writes_per_s = 0, state_value_kb = 0;
    std::size_t state_txn_ops = 0;
    /// Returns the size limit of a value in bytes, counted as JSON.
    [[nodiscard]] double max_value_bytes() const { return state_value_kb * kBytesPerKilobyte; }
    /// Limits of the cloud: calls per second, and the maximum age of its instance lists in seconds.
    double cloud_requests_per_s = 0, cloud_list_lag_s = 0;
    /// Limits of this process: share of a CPU, memory, and number of sockets (at least 64).
    double cpu_share = 1, memory_mb = 0;
    std::size_t max_sockets = 0;
    /// Read but not evaluated.
    double time_bound_ms = 0;
};

/// The first error of a settings file.
struct SettingsError {
    /// Path of the field, such as "facts.state.rps", or "the file" if the text is not a JSON map.
    std::string field;
    /// The violated requirement, such as "must be a map".
    std::string reason;

    /// Returns the message for the operator who starts the controller.
    std::string message() const { return "settings: " + field + " " + reason; }
};

/// Reads a settings file and ignores unknown fields and objectives of unknown kinds. Called once by
/// the controller's main function.
Result<Settings, SettingsError> parse_settings(const std::string& text);

}  // namespace nickelramp::wire
