#include "emulator/controller_processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace nickelramp::emulator {

using wire::Json;

namespace {
constexpr int kExecFailed = 127;
constexpr double kBytesPerMb = 1024.0 * 1024.0;

// Runs in the child process and replaces it by the controller. Never returns.
void exec_controller(const std::string& program, const std::string& settings,
                     const std::string& log, pid_t parent) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(kExecFailed);  // the parent ended before prctl() took effect
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (file >= 0) {
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
    }
    execl(program.c_str(), program.c_str(), "--config", settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(kExecFailed);
}
}  // namespace

Usage usage_of(pid_t pid) {
    Usage out;
    const std::string folder = "/proc/" + std::to_string(pid) + "/";
    std::ifstream stat(folder + "stat"), statm(folder + "statm");
    std::string line;
    std::getline(stat, line);
    const auto after_name = line.rfind(')');
    if (after_name == std::string::npos) return out;
    std::istringstream fields(line.substr(after_name + 2));
    constexpr int kUserTime = 11;  // index of utime among the fields after the name, see proc(5)
    std::string skipped;
    for (int i = 0; i < kUserTime; ++i) fields >> skipped;
    double user = 0, system = 0;
    fields >> user >> system;
    out.processor_s = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    double total = 0, resident = 0;
    statm >> total >> resident;
    out.memory_mb = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
    std::error_code error;
    for (auto it = std::filesystem::directory_iterator(folder + "fd", error);
         !error && it != std::filesystem::directory_iterator(); it.increment(error)) {
        ++out.files;
    }
    return out;
}

ControllerProcesses::ControllerProcesses(ControllerSettings settings)
    : settings_(std::move(settings)), pids_(settings_.count) {}

ControllerProcesses::~ControllerProcesses() {
    for (std::size_t i = 0; i < pids_.size(); ++i) kill(i);
}

std::string ControllerProcesses::at(std::size_t i, int port) const {
    return "127.0.0.1:" + std::to_string(settings_.first_port + 2 * static_cast<int>(i) + port);
}

std::string ControllerProcesses::write_settings(std::size_t i) const {
    Json peers = Json::array();
    for (std::size_t k = 0; k < settings_.count; ++k) {
        if (k != i)
            peers.push_back({{"host_name", name(k)}, {"site", zone(k)}, {"addr", at(k, 1)}});
    }
    const Json all = {{"host_name", name(i)},
                      {"site", zone(i)},
                      {"serve_on", at(i, 0)},
                      {"back", at(i, 1)},
                      {"peers", peers},
                      {"external", {{"cloud", settings_.cloud}, {"state", settings_.state}}},
                      {"facts", settings_.facts}};
    std::string path = settings_.directory + "/" + name(i) + ".json";
    std::ofstream(path) << all.dump(2);
    return path;
}

std::string ControllerProcesses::start(std::size_t i) {
    const std::string settings = write_settings(i);
    const std::string log = settings_.directory + "/" + name(i) + ".log";
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child < 0) return std::string("cannot fork a controller process: ") + std::strerror(errno);
    if (child == 0) exec_controller(settings_.program, settings, log, parent);
    pids_[i] = child;
    return "";
}

std::string ControllerProcesses::start_all() {
    for (std::size_t i = 0; i < pids_.size(); ++i) {
        if (std::string error = start(i); !error.empty()) return error;
    }
    return "";
}

void ControllerProcesses::kill(std::size_t i) {
    if (pids_[i] == 0) return;
    ::kill(pids_[i], SIGKILL);
    waitpid(pids_[i], nullptr, 0);
    pids_[i] = 0;
}

std::size_t ControllerProcesses::unexpected_exits() {
    for (pid_t& pid : pids_) {
        if (pid == 0 || waitpid(pid, nullptr, WNOHANG) != pid) continue;
        pid = 0;
        ++unexpected_exits_;
    }
    return unexpected_exits_;
}

}  // namespace nickelramp::emulator
