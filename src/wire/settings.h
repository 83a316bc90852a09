// The settings file that the platform hands over.
#pragma once
#include <string>
#include <vector>

namespace nickelramp::wire {

struct Peer {
    std::string name, zone, address;
};

struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: no guarantee, no limit
};

struct Objective {
    enum class Kind { wait, finished, deadline, guarantee };
    Kind kind = Kind::wait;
    std::string job_class;
    double within_s = 0, times = 1, share = 0;
};

struct Settings {
    std::string name, zone, listen, peer_listen;
    std::vector<Peer> peers;
    std::string cloud, state_service;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
    double state_requests_per_s = 0, state_writes_per_s = 0, state_value_kb = 0;
    std::size_t state_txn_ops = 0;
    double cloud_requests_per_s = 0, cloud_list_lag_s = 0;
    double cpu_share = 1, memory_mb = 0;
    std::size_t max_sockets = 0;
    double time_bound_ms = 0;
};

// Throws std::runtime_error with a message that names the field at fault.
Settings parse_settings(const std::string& text);

}  // namespace nickelramp::wire
