#include "emulator/worker_emulator.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "net/address.h"

namespace nickelramp::emulator {

namespace {
constexpr Millis kHeartbeatTimeout = 4'000, kNextControllerDelay = 1'000, kRedirectSpread = 500,
                 kMinReportGap = 500;
constexpr Millis kDueInterval = 5;
constexpr std::size_t kMaxConnections = 18'000;
constexpr double kReportSpread = 0.25;
constexpr double kMillisPerSecond = 1'000;
constexpr int kOk = 200, kConflict = 409, kRedirected = 421;
}  // namespace

WorkerEmulator::WorkerEmulator(uv_loop_t* loop, WorkerSettings settings, ProtocolRules& rules,
                               std::uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      rules_(rules),
      random_(seed),
      server_(loop, kMaxConnections,
              [this](const net::Request& q, const net::Responder& r) { on_direct(q, r); }),
      due_timer_(loop, [this] { run_due(); }),
      repeater_(loop, settings_.repeated_requests, seed) {
    server_.report_local_ip();
    due_timer_.every(kDueInterval);
}

int WorkerEmulator::listen() {
    return server_.listen(*net::parse_address("0.0.0.0:" + std::to_string(settings_.port)));
}

std::string WorkerEmulator::address(std::size_t number) const {
    constexpr std::size_t kPerByte = 250;
    const std::size_t high = 1 + number / (kPerByte * kPerByte);
    const std::size_t middle = number / kPerByte % kPerByte, low = 1 + number % kPerByte;
    return fmt::format("127.{}.{}.{}:{}", high, middle, low, settings_.port);
}

void WorkerEmulator::at(Millis when, std::function<void()> action) {
    due_.push({when, ++order_, std::move(action)});
}

void WorkerEmulator::run_due() {
    while (!due_.empty() && due_.top().at <= now()) {
        const auto action = due_.top().action;
        due_.pop();
        action();
    }
}

WorkerEmulator::Worker* WorkerEmulator::worker(const std::string& name) {
    auto it = workers_.find(name);
    return it == workers_.end() ? nullptr : &it->second;
}

void WorkerEmulator::schedule(const Worker& w, Millis wait, std::function<void(Worker&)> action) {
    at(now() + wait, [this, name = w.name, life = w.life, action = std::move(action)] {
        Worker* same = worker(name);
        if (same != nullptr && same->life == life) action(*same);
    });
}

Millis WorkerEmulator::jitter(double mean_s) {
    std::uniform_real_distribution<double> spread(1 - kReportSpread, 1 + kReportSpread);
    return static_cast<Millis>(mean_s * spread(random_) * kMillisPerSecond);
}

void WorkerEmulator::boot(std::size_t number, const std::string& name, const std::string& type,
                          const std::string& zone, bool spot) {
    Worker& w = workers_[name];
    w.number = number;
    w.life = ++lives_;
    w.name = name;
    w.type = type;
    w.zone = zone;
    w.spot = spot;
    w.lease_from = now();
    w.target = random_() % settings_.controllers.size();
    const std::string ip = address(number);
    by_ip_[ip.substr(0, ip.find(':'))] = name;
    check_lease(w);
    report(w);
}

void WorkerEmulator::remove(const std::string& name) {
    Worker* w = worker(name);
    if (w == nullptr) return;
    while (!w->tasks.empty()) {
        const auto [id, task] = *w->tasks.begin();
        w->tasks.erase(w->tasks.begin());
        release_task(id, task);
    }
    const std::string ip = address(w->number);
    by_ip_.erase(ip.substr(0, ip.find(':')));
    workers_.erase(name);
}

std::map<std::string, std::size_t> WorkerEmulator::by_controller() const {
    std::map<std::string, std::size_t> out;
    for (const auto& [name, w] : workers_) ++out[settings_.controllers[w.target]];
    return out;
}

wire::Heartbeat WorkerEmulator::describe(Worker& w) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = w.name;
    heartbeat.address = address(w.number);
    heartbeat.type = w.type;
    heartbeat.zone = w.zone;
    heartbeat.spot = w.spot;
    heartbeat.incarnation = w.session;
    heartbeat.sequence = ++w.seq;
    heartbeat.token = w.token;
    heartbeat.tasks.reserve(w.tasks.size());
    for (const auto& [id, t] : w.tasks)
        heartbeat.tasks.push_back({id.first, id.second, t.attempt, t.phase, t.cause, t.saved});
    for (const auto& [attempt, t] : w.superseded) {
        const TaskId& id = attempt.first;
        heartbeat.tasks.push_back({id.first, id.second, t.attempt, t.phase, t.cause, t.saved});
    }
    return heartbeat;
}

void WorkerEmulator::report(Worker& w) {
    if (w.in_flight) return;
    if (!w.client) {
        const std::string& to = settings_.addresses[w.target];
        w.client = std::make_unique<net::HttpClient>(loop_, *net::parse_address(to), to, 1, 2);
    }
    w.in_flight = true;
    w.changed = false;
    w.reported_at = now();
    ++counters_.reports;
    std::string body = encode_heartbeat(describe(w));
    counters_.bytes_sent += body.size();
    w.client->request("POST", "/checkin", std::move(body), kHeartbeatTimeout,
                      [this, name = w.name, life = w.life, session = w.session,
                       sent = now()](const net::ClientReply& reply) {
                          Worker* same = worker(name);
                          if (same == nullptr || same->life != life) return;
                          same->in_flight = false;
                          on_reply(*same, reply, session, sent);
                      });
}

void WorkerEmulator::on_reply(Worker& w, const net::ClientReply& reply, std::uint64_t session,
                              Millis sent) {
    counters_.bytes_received += reply.body.size();
    if (reply.outcome != net::ClientReply::Outcome::answered) {
        ++counters_.unanswered;
        return try_next_controller(w);
    }
    if (reply.status == kRedirected) return on_redirect(w, reply);
    if (reply.status != kOk) {
        ++counters_.refused;
        return try_next_controller(w);
    }
    ++counters_.answered;
    report_ms_.add(static_cast<double>(now() - sent));
    on_commands(w, reply, session, sent);
    schedule_report(w);
}

void WorkerEmulator::on_redirect(Worker& w, const net::ClientReply& reply) {
    ++counters_.redirected;
    const auto body = wire::decode_map(reply.body);
    const std::string to = body ? wire::text_field(*body, "boss").value_or("") : "";
    const auto& names = settings_.controllers;
    const auto named = std::find(names.begin(), names.end(), to);
    if (named == names.end() || named == names.begin() + static_cast<long>(w.target))
        return try_next_controller(w);
    w.target = static_cast<std::size_t>(named - names.begin());
    reconnect_after(w, static_cast<Millis>(random_() % kRedirectSpread));
}

void WorkerEmulator::on_commands(Worker& w, const net::ClientReply& reply, std::uint64_t session,
                                 Millis sent) {
    const auto received = decode_commands(reply.body);
    if (!received || received->token < w.token) {
        ++counters_.dropped_tokens;
        return;
    }
    if (session != w.session) return;
    take_token(w, received->token);
    w.lease_from = sent;
    execute(w, received->commands);
}

void WorkerEmulator::try_next_controller(Worker& w) {
    w.target = (w.target + 1) % settings_.controllers.size();
    reconnect_after(w, kNextControllerDelay);
}

void WorkerEmulator::reconnect_after(Worker& w, Millis wait) {
    schedule(w, wait, [this](Worker& same) {
        same.client.reset();
        report(same);
    });
}

// Schedules the next heartbeat after the usual interval, or sooner if the state changes.
void WorkerEmulator::schedule_report(Worker& w) {
    schedule(w, jitter(settings_.report_s), [this, previous_report = w.reported_at](Worker& same) {
        if (same.reported_at == previous_report) report(same);
    });
    if (w.changed) report_soon(w);
}

void WorkerEmulator::report_soon(Worker& w) {
    w.changed = true;
    if (w.in_flight || w.report_scheduled) return;
    w.report_scheduled = true;
    const Millis wait = std::max<Millis>(0, w.reported_at + kMinReportGap - now());
    schedule(w, wait, [this](Worker& same) {
        same.report_scheduled = false;
        if (same.changed) report(same);
    });
}

void WorkerEmulator::check_lease(Worker& w) {
    const Millis end = w.lease_from + static_cast<Millis>(settings_.lease_s * kMillisPerSecond);
    if (now() > end) lose_lease(w);
    schedule(w, std::max<Millis>(kMinReportGap, end - now() + 1),
             [this](Worker& same) { check_lease(same); });
}

void WorkerEmulator::lose_lease(Worker& w) {
    ++counters_.leases_lost;
    ++w.session;
    w.lease_from = now();
    while (!w.tasks.empty()) {
        const auto [id, task] = *w.tasks.begin();
        w.tasks.erase(w.tasks.begin());
        release_task(id, task);
    }
    w.superseded.clear();
    report_soon(w);
}

void WorkerEmulator::on_direct(const net::Request& q, const net::Responder& r) {
    auto known = by_ip_.find(q.local_ip);
    Worker* w = known == by_ip_.end() ? nullptr : worker(known->second);
    if (w == nullptr) return r.send({404, "", 0, "application/cbor"});
    ++counters_.direct;
    counters_.bytes_received += q.body.size();
    int status = kOk;
    if (q.path != "/status") {
        const auto received = decode_commands(q.body);
        if (!received || !received->session) return r.send({400, "", 0, "application/cbor"});
        if (!execute_direct(*w, *received)) {
            status = kConflict;
            ++counters_.direct_conflicts;
        }
        repeat_direct(*w, *received);
    }
    std::string body = encode_heartbeat(describe(*w));
    counters_.bytes_sent += body.size();
    r.send({status, std::move(body), 0, "application/cbor"});
}

bool WorkerEmulator::execute_direct(Worker& w, const WorkerCommands& received) {
    if (received.token < w.token || *received.session != w.session) return false;
    take_token(w, received.token);
    execute(w, received.commands);
    return true;
}

// A higher token hastens a heartbeat at most once in half a lease.
void WorkerEmulator::take_token(Worker& w, std::uint64_t token) {
    const auto half_lease = static_cast<Millis>(settings_.lease_s * kMillisPerSecond / 2);
    if (token > w.token && now() - w.seen_token_at > half_lease) {
        w.seen_token_at = now();
        report_soon(w);
    }
    w.token = token;
}

// Machines that are added later may use the same address. The copies are meant for this one only.
void WorkerEmulator::repeat_direct(const Worker& w, const WorkerCommands& received) {
    repeater_.offer([this, name = w.name, life = w.life, received] {
        Worker* same = worker(name);
        if (same != nullptr && same->life == life) on_direct_copy(*same, received);
    });
}

void WorkerEmulator::on_direct_copy(Worker& w, const WorkerCommands& received) {
    const std::uint64_t starts_before = counters_.starts;
    if (!execute_direct(w, received)) {
        ++counters_.copies_rejected;
        return;
    }
    ++counters_.copies_accepted;
    counters_.copied_starts += static_cast<std::uint64_t>(
        std::count_if(received.commands.begin(), received.commands.end(),
                      [](const auto& c) { return c.op == wire::Command::Op::start; }));
    counters_.started_by_copies += counters_.starts - starts_before;
    if (counters_.starts != starts_before)
        rules_.record_violation("started_by_copy", "by a copy of a direct message to " + w.name);
}

}  // namespace nickelramp::emulator
