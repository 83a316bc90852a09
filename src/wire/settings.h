/// @file
/// The settings file of a controller, which the platform provides: JSON, read once at the start.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/result.h"

namespace nickelramp::wire {

/// Another controller. Addresses are IPv4 with a port, as net::parse_address reads them.
struct Peer {
    std::string name, zone, address;
};

/// A team's guaranteed quota and quota (`_max`); 0: no guarantee, no limit.
struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

/// A service-level objective for jobs of a class; an empty class stands for all.
struct Objective {
    enum class Kind { wait, finished, deadline, guarantee };
    Kind kind = Kind::wait;
    std::string job_class;
    double within_s = 0, times = 1, share = 0;
};

struct Settings {
    /// Of this controller: its name and zone, and the addresses that it serves users and workers,
    /// and peers, on.
    std::string name, zone, listen, peer_listen;
    std::vector<Peer> peers;
    /// Addresses.
    std::string cloud, state_service;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    /// Of workers, in seconds: interval of heartbeats, duration of leases, how long a gang's tasks
    /// wait for each other, how long one runs on without the others, and within what time a
    /// cancellation is to be final (above the lease).
    double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
    /// Limits of the key-value store, for all controllers together: requests and writes a second,
    /// size of a value, and operations of a transaction (at least 4).
    double state_requests_per_s = 0, state_writes_per_s = 0, state_value_kb = 0;
    std::size_t state_txn_ops = 0;
    /// Limits of the cloud: calls a second, and the age in seconds that its lists may have.
    double cloud_requests_per_s = 0, cloud_list_lag_s = 0;
    /// Limits of this process: share of a CPU, memory, and sockets (at least 64).
    double cpu_share = 1, memory_mb = 0;
    std::size_t max_sockets = 0;
    double time_bound_ms = 0;
};

/// The first fault of a settings file.
struct SettingsError {
    /// With its path, such as "facts.state.rps"; "the file" if the text is no JSON map.
    std::string field;
    /// What is required, such as "must be a map".
    std::string reason;

    /// For the operator who starts the controller.
    std::string message() const { return "settings: " + field + " " + reason; }
};

/// Reads a settings file. Unknown fields, and objectives of unknown kinds, are ignored. Called once
/// by the controller's main function.
Result<Settings, SettingsError> parse_settings(const std::string& text);

}  // namespace nickelramp::wire
