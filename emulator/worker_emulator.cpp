#include "emulator/worker_emulator.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "net/address.h"

namespace nickelramp::emulator {

using wire::Command;
using wire::ExitCause;
using wire::TaskPhase;

namespace {
constexpr Millis kWaits = 4'000, kNextAfter = 1'000, kMoveWithin = 500, kLeastGap = 500;
constexpr Millis kDueEvery = 5;
constexpr std::size_t kMostConnections = 18'000;
constexpr double kReportSpread = 0.25;
constexpr double kMillisPerSecond = 1'000;
constexpr int kOk = 200, kRedirected = 421;
}  // namespace

WorkerEmulator::WorkerEmulator(uv_loop_t* loop, WorkerSettings settings, ProtocolRules& rules,
                               std::uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      rules_(rules),
      random_(seed),
      server_(loop, kMostConnections,
              [this](const net::Request& q, const net::Responder& r) { on_direct(q, r); }),
      due_timer_(loop, [this] { run_due(); }) {
    server_.report_local_ip();
    due_timer_.every(kDueEvery);
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

void WorkerEmulator::at(Millis when, std::function<void()> act) {
    due_.push({when, ++order_, std::move(act)});
}

void WorkerEmulator::run_due() {
    while (!due_.empty() && due_.top().at <= now()) {
        const auto act = due_.top().act;
        due_.pop();
        act();
    }
}

WorkerEmulator::Worker* WorkerEmulator::worker(const std::string& name) {
    auto it = workers_.find(name);
    return it == workers_.end() ? nullptr : &it->second;
}

void WorkerEmulator::later(const Worker& w, Millis wait, std::function<void(Worker&)> act) {
    at(now() + wait, [this, name = w.name, life = w.life, act = std::move(act)] {
        Worker* same = worker(name);
        if (same != nullptr && same->life == life) act(*same);
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
        leave(id, task);
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

// --- Heartbeats.

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
    w.client->request("POST", "/checkin", std::move(body), kWaits,
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
    reconnect_after(w, static_cast<Millis>(random_() % kMoveWithin));
}

void WorkerEmulator::on_commands(Worker& w, const net::ClientReply& reply, std::uint64_t session,
                                 Millis sent) {
    const auto received = decode_commands(reply.body);
    if (!received || received->token < w.token) {
        ++counters_.dropped_tokens;
        return;
    }
    if (session != w.session) return;
    const auto half_lease = static_cast<Millis>(settings_.lease_s * kMillisPerSecond / 2);
    if (received->token > w.token && now() - w.seen_token_at > half_lease) {
        w.seen_token_at = now();
        w.changed = true;
    }
    w.token = received->token;
    w.lease_from = sent;
    execute(w, received->commands);
}

void WorkerEmulator::try_next_controller(Worker& w) {
    w.target = (w.target + 1) % settings_.controllers.size();
    reconnect_after(w, kNextAfter);
}

void WorkerEmulator::reconnect_after(Worker& w, Millis wait) {
    later(w, wait, [this](Worker& same) {
        same.client.reset();
        report(same);
    });
}

// The next heartbeat is due after the usual interval, or sooner if something
// changes.
void WorkerEmulator::schedule_report(Worker& w) {
    later(w, jitter(settings_.report_s), [this, was = w.reported_at](Worker& same) {
        if (same.reported_at == was) report(same);
    });
    if (w.changed) report_soon(w);
}

void WorkerEmulator::report_soon(Worker& w) {
    w.changed = true;
    if (w.in_flight || w.again_soon) return;
    w.again_soon = true;
    const Millis wait = std::max<Millis>(0, w.reported_at + kLeastGap - now());
    later(w, wait, [this](Worker& same) {
        same.again_soon = false;
        if (same.changed) report(same);
    });
}

void WorkerEmulator::check_lease(Worker& w) {
    const Millis end = w.lease_from + static_cast<Millis>(settings_.lease_s * kMillisPerSecond);
    if (now() > end) lose_lease(w);
    later(w, std::max<Millis>(kLeastGap, end - now() + 1),
          [this](Worker& same) { check_lease(same); });
}

void WorkerEmulator::lose_lease(Worker& w) {
    ++counters_.leases_lost;
    ++w.session;
    w.lease_from = now();
    while (!w.tasks.empty()) {
        const auto [id, task] = *w.tasks.begin();
        w.tasks.erase(w.tasks.begin());
        leave(id, task);
    }
    report_soon(w);
}

// --- Commands.

void WorkerEmulator::on_direct(const net::Request& q, const net::Responder& r) {
    auto known = by_ip_.find(q.local_ip);
    Worker* w = known == by_ip_.end() ? nullptr : worker(known->second);
    if (w == nullptr) return r.send({404, "", 0, "application/cbor"});
    ++counters_.direct;
    counters_.bytes_received += q.body.size();
    const auto received = decode_commands(q.body);
    int status = 200;
    if (q.path != "/status") {
        if (!received || !received->session) return r.send({400, "", 0, "application/cbor"});
        if (received->token < w->token || *received->session != w->session) status = 409;
        if (status == 409) ++counters_.direct_conflicts;
    }
    if (status == 200 && received) {
        if (received->token > w->token) {
            w->token = received->token;
            report_soon(*w);
        }
        execute(*w, received->commands);
    }
    std::string body = encode_heartbeat(describe(*w));
    counters_.bytes_sent += body.size();
    r.send({status, std::move(body), 0, "application/cbor"});
}

void WorkerEmulator::execute(Worker& w, const std::vector<Command>& commands) {
    for (const Command& command : commands) {
        if (command.op == Command::Op::start) start(w, command);
        if (command.op == Command::Op::stop) stop(w, command);
        if (command.op == Command::Op::forget) {
            Task* t = find(w, {command.job, command.task}, command.attempt);
            if (t != nullptr && t->phase == TaskPhase::exited)
                w.tasks.erase({command.job, command.task});
        }
    }
}

WorkerEmulator::Task* WorkerEmulator::find(Worker& w, const TaskId& id, std::uint32_t attempt) {
    auto it = w.tasks.find(id);
    return it == w.tasks.end() || it->second.attempt != attempt ? nullptr : &it->second;
}

void WorkerEmulator::start(Worker& w, const Command& command) {
    const TaskId id{command.job, command.task};
    auto there = w.tasks.find(id);
    if (there != w.tasks.end()) {
        const bool ended = there->second.phase == TaskPhase::exited;
        if (there->second.attempt == command.attempt || !ended) return;
    }
    JobTruth* job = rules_.find(command.job);
    Task& t = w.tasks[id] = {};
    t.attempt = command.attempt;
    if (job == nullptr || command.task >= job->spec.tasks) {
        exit_task(w, id, ExitCause::unknown, false);
        return;
    }
    ++counters_.starts;
    if (job->spec.shape == wire::Shape::gang)
        gangs_[{command.job, command.attempt}].members[command.task] = w.name;
    const bool cached = w.images.count(job->spec.image) != 0;
    const Millis fetch = cached ? 0 : jitter(job->spec.image_gb / settings_.fetch_gb_per_s);
    later(w, fetch,
          [this, id, attempt = command.attempt](Worker& same) { fetched(same, id, attempt); });
    report_soon(w);
}

void WorkerEmulator::fetched(Worker& w, const TaskId& id, std::uint32_t attempt) {
    Task* t = find(w, id, attempt);
    if (t == nullptr || t->phase != TaskPhase::fetching) return;
    JobTruth& job = *rules_.find(id.first);
    w.images.insert(job.spec.image);
    rules_.task_arrived(w.name, job, id.second, now());
    ++running_;
    t->phase = TaskPhase::running;
    if (job.task_done[id.second]) return exit_task(w, id, ExitCause::done, false);
    if (job.spec.shape == wire::Shape::gang) return gang_ready(w, id, attempt);
    run(w, id, attempt);
}

void WorkerEmulator::run(Worker& w, const TaskId& id, std::uint32_t attempt) {
    Task* t = find(w, id, attempt);
    if (t == nullptr) return;
    t->phase = TaskPhase::running;
    JobTruth& job = *rules_.find(id.first);
    if (job.first_start_at == 0) job.first_start_at = now();
    if (job.spec.shape != wire::Shape::service) {
        later(w, seconds(job.run_s),
              [this, id, attempt](Worker& same) { complete(same, id, attempt); });
    }
    report_soon(w);
}

void WorkerEmulator::complete(Worker& w, const TaskId& id, std::uint32_t attempt) {
    Task* t = find(w, id, attempt);
    if (t == nullptr || t->phase != TaskPhase::running) return;
    rules_.task_completed(*rules_.find(id.first), id.second, now());
    exit_task(w, id, ExitCause::done, false);
}

void WorkerEmulator::stop(Worker& w, const Command& command) {
    const TaskId id{command.job, command.task};
    Task* t = find(w, id, command.attempt);
    if (t == nullptr || t->phase == TaskPhase::exited) return;
    const JobTruth* job = rules_.find(command.job);
    const bool saves = t->phase == TaskPhase::running && job != nullptr &&
                       job->spec.checkpoint_s > 0 && command.grace_s >= job->spec.save_s;
    if (!saves) return exit_task(w, id, ExitCause::stopped, false);
    t->phase = TaskPhase::saving;
    later(w, seconds(job->spec.save_s), [this, id, attempt = command.attempt](Worker& same) {
        Task* task = find(same, id, attempt);
        if (task != nullptr && task->phase == TaskPhase::saving)
            exit_task(same, id, ExitCause::stopped, true);
    });
    report_soon(w);
}

void WorkerEmulator::exit_task(Worker& w, const TaskId& id, ExitCause cause, bool saved) {
    Task& t = w.tasks[id];
    const Task before = t;
    t.phase = TaskPhase::exited;
    t.cause = cause;
    t.saved = saved;
    ++counters_.exits;
    leave(id, before);
    report_soon(w);
}

// The task does not occupy its machine any more.
void WorkerEmulator::leave(const TaskId& id, const Task& task) {
    const bool was_on = task.phase != TaskPhase::fetching && task.phase != TaskPhase::exited;
    JobTruth* job = rules_.find(id.first);
    if (job == nullptr) return;
    if (was_on) {
        rules_.task_left(*job, id.second);
        --running_;
    }
    if (job->spec.shape != wire::Shape::gang || task.phase == TaskPhase::exited) return;
    auto gang = gangs_.find({id.first, task.attempt});
    if (gang == gangs_.end()) return;
    gang->second.members.erase(id.second);
    const bool broken = gang->second.began && !job->task_done[id.second];
    if (gang->second.members.empty()) gangs_.erase(gang);
    if (broken) {
        at(now() + seconds(settings_.gang_peer_s),
           [this, id, attempt = task.attempt] { gang_lost(id, attempt, ExitCause::peers); });
    }
}

void WorkerEmulator::gang_ready(Worker& w, const TaskId& id, std::uint32_t attempt) {
    find(w, id, attempt)->phase = TaskPhase::waiting;
    Gang& gang = gangs_[{id.first, attempt}];
    ++gang.ready;
    const JobTruth& job = *rules_.find(id.first);
    if (gang.ready < job.spec.tasks) {
        later(w, seconds(settings_.gang_wait_s), [this, id, attempt](Worker& same) {
            Task* t = find(same, id, attempt);
            if (t == nullptr || t->phase != TaskPhase::waiting) return;
            --gangs_[{id.first, attempt}].ready;
            exit_task(same, id, ExitCause::alone, false);
        });
        return report_soon(w);
    }
    gang.began = true;
    for (const auto& [task, machine] : gang.members) {
        if (Worker* mate = worker(machine)) run(*mate, {id.first, task}, attempt);
    }
}

void WorkerEmulator::gang_lost(const TaskId& id, std::uint32_t attempt, ExitCause cause) {
    auto gang = gangs_.find({id.first, attempt});
    if (gang == gangs_.end()) return;
    const auto members = gang->second.members;
    gangs_.erase(gang);
    for (const auto& [task, machine] : members) {
        Worker* mate = worker(machine);
        if (mate == nullptr || find(*mate, {id.first, task}, attempt) == nullptr) continue;
        if (find(*mate, {id.first, task}, attempt)->phase != TaskPhase::exited)
            exit_task(*mate, {id.first, task}, cause, false);
    }
}

}  // namespace nickelramp::emulator
