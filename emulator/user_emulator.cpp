#include "emulator/user_emulator.h"

#include <cstdio>

#include "emulator/worker_messages.h"
#include "net/address.h"

namespace nickelramp::emulator {

using wire::JobStatus;
using wire::Json;

namespace {
constexpr Millis kTick = 20, kPollInterval = 5'000, kRetryDelay = 1'000, kSubmitTimeout = 5'000,
                 kPollTimeout = 2'000, kInitialWindow = 5'000, kSettingPollInterval = 100;
constexpr std::size_t kConnections = 12, kMaxQueued = 20'000;
constexpr double kMillisPerSecond = 1'000;
constexpr double kMinSetting = 1, kSettingSteps = 15;
constexpr const char* kSetting = "keep_margin";
}  // namespace

UserEmulator::UserEmulator(uv_loop_t* loop, Load load, const std::vector<std::string>& controllers,
                           ProtocolRules& rules, std::uint64_t seed)
    : loop_(loop),
      load_(load),
      rules_(rules),
      random_(seed),
      tick_timer_(loop, [this] { tick(); }),
      repeater_(loop, load.repeated_requests, seed) {
    for (const std::string& c : controllers) {
        clients_.push_back(std::make_unique<net::HttpClient>(loop, *net::parse_address(c), c,
                                                             kConnections, kMaxQueued));
    }
}

void UserEmulator::begin() {
    started_at_ = ticked_at_ = now();
    const std::size_t arrays = load_.initial_tasks / std::max(1u, load_.array_tasks);
    for (std::size_t i = 0; i < arrays; ++i) {
        run_later(static_cast<Millis>(random_() % kInitialWindow),
                  [this] { submit_array(load_.array_tasks); });
    }
    for (std::size_t i = 0; i < static_cast<std::size_t>(load_.services); ++i) {
        run_later(static_cast<Millis>(random_() % kInitialWindow), [this] {
            wire::JobSpec s;
            s.shape = wire::Shape::service;
            s.priority = wire::Priority::production;
            s.tasks = 2;
            s.spread = true;
            submit(std::move(s));
        });
    }
    tick_timer_.every(kTick);
}

void UserEmulator::run_later(Millis wait, std::function<void()> action) {
    due_.emplace(now() + wait, std::move(action));
}

bool UserEmulator::arrives(double per_s, Millis since) {
    const double expected = per_s * static_cast<double>(since) / kMillisPerSecond;
    return std::uniform_real_distribution<double>(0, 1)(random_) < expected;
}

void UserEmulator::tick() {
    const Millis since = now() - std::exchange(ticked_at_, now());
    while (!due_.empty() && due_.begin()->first <= now()) {
        const auto action = due_.begin()->second;
        due_.erase(due_.begin());
        action();
    }
    if (!arriving_) return;
    if (arrives(load_.arrays_per_s, since)) submit_array(load_.array_tasks);
    if (arrives(load_.gangs_per_s, since)) {
        wire::JobSpec s;
        s.shape = wire::Shape::gang;
        s.priority = wire::Priority::high;
        s.tasks = load_.gang_tasks;
        s.one_zone = true;
        s.gpus = 1;
        s.cpus = 4;
        submit(std::move(s));
    }
    if (arrives(load_.settings_changes_per_s, since)) change_setting();
    if (load_.burst_tasks > 0 && !burst_ && now() - started_at_ >= seconds(load_.burst_at_s)) {
        burst_ = true;
        for (std::size_t i = 0; i < load_.burst_tasks / load_.array_tasks; ++i)
            submit_array(load_.array_tasks);
    }
}

void UserEmulator::submit_array(std::uint32_t tasks) {
    wire::JobSpec s;
    s.shape = wire::Shape::array;
    s.priority = wire::Priority::normal;
    s.tasks = tasks;
    s.spot = true;
    submit(std::move(s));
}

void UserEmulator::submit(wire::JobSpec s) {
    char id[32];
    std::snprintf(id, sizeof id, "job-%06zu", ++last_job_);
    constexpr const char* kClasses[] = {"array", "gang", "service"};
    s.id = id;
    s.job_class = kClasses[static_cast<std::size_t>(s.shape)];
    s.team = "team-" + std::to_string(last_job_ % load_.teams);
    s.cpus = std::max(s.cpus, 4.0);
    s.memory_gb = 8;
    s.image = "img-" + std::to_string(last_job_ % 7);
    s.image_gb = 1;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double run_s = s.shape == wire::Shape::service ? 0 : load_.run_s * spread(random_);
    s.estimate_s = run_s;
    s.checkpoint_interval_s = 15;
    s.checkpoint_duration_s = 1;
    rules_.submitted(std::move(s), run_s, now());
    ++counters_.submitted;
    ++open_;
    send(id, now());
}

void UserEmulator::request(const char* method, const std::string& path, std::string body,
                           OnReply done) {
    clients_[random_() % clients_.size()]->request(
        method, path, std::move(body), method == std::string("GET") ? kPollTimeout : kSubmitTimeout,
        std::move(done));
}

void UserEmulator::post(const std::string& path, const std::string& body, OnReply done) {
    request("POST", path, body,
            [this, path, body, done = std::move(done)](const net::ClientReply& reply) {
                if (reply.outcome == net::ClientReply::Outcome::answered) {
                    repeater_.offer([this, path, body] {
                        request("POST", path, body, [](const net::ClientReply&) {});
                    });
                }
                done(reply);
            });
}

void UserEmulator::send(const std::string& id, Millis first) {
    post("/work", wire::encode(job_body(rules_.find(id)->spec)),
         [this, id, first](const net::ClientReply& reply) {
             if (reply.outcome != net::ClientReply::Outcome::answered ||
                 (reply.status != 200 && reply.status != 201)) {
                 ++counters_.retried;
                 if (reply.status == 400 || reply.status == 422)
                     rules_.record_violation("refused", id);
                 return run_later(kRetryDelay, [this, id, first] { send(id, first); });
             }
             ++counters_.accepted;
             EmulatedJob& job = *rules_.find(id);
             job.accepted_at = now();
             submit_ms_.add(static_cast<double>(now() - first));
             const bool cancels =
                 job.spec.shape == wire::Shape::array &&
                 std::uniform_real_distribution<double>(0, 1)(random_) < load_.cancelled;
             if (cancels) run_later(seconds(job.run_s / 2), [this, id] { cancel(id); });
             run_later(static_cast<Millis>(random_() % kPollInterval), [this, id] { poll(id); });
         });
}

void UserEmulator::poll(const std::string& id) {
    ++counters_.polls;
    request("GET", "/work/" + id, "",
            [this, id](const net::ClientReply& reply) { on_poll(id, reply); });
}

void UserEmulator::on_poll(const std::string& id, const net::ClientReply& reply) {
    EmulatedJob& job = *rules_.find(id);
    if (job.first_start_at != 0 && started_.insert(id).second) {
        start_ms_[static_cast<std::size_t>(job.spec.shape)].add(
            static_cast<double>(job.first_start_at - job.submitted_at));
    }
    const bool known = reply.outcome == net::ClientReply::Outcome::answered && reply.status == 200;
    if (reply.outcome == net::ClientReply::Outcome::answered && reply.status == 404)
        rules_.answer_received(job, false, JobStatus::pending, now());
    else if (!known)
        ++counters_.failed_polls;
    if (known) {
        const auto body = wire::decode_map(reply.body);
        const std::string status = body ? wire::text_field(*body, "status").value_or("") : "";
        const JobStatus reported = status == "done"        ? JobStatus::done
                                   : status == "withdrawn" ? JobStatus::cancelled
                                   : status == "running"   ? JobStatus::running
                                                           : JobStatus::pending;
        rules_.answer_received(job, true, reported, now());
        if (reported == JobStatus::done || reported == JobStatus::cancelled) {
            --open_;
            return;
        }
    }
    run_later(kPollInterval, [this, id] { poll(id); });
}

void UserEmulator::cancel(const std::string& id) {
    ++counters_.cancelled;
    post("/work/" + id + "/abort", "", [this, id](const net::ClientReply& reply) {
        if (reply.outcome != net::ClientReply::Outcome::answered || reply.status != 200)
            run_later(kRetryDelay, [this, id] { cancel(id); });
    });
}

void UserEmulator::change_setting() {
    setting_ = kMinSetting + std::fmod(setting_, kSettingSteps) + 1;
    ++counters_.settings_changed;
    const double value = setting_;
    const Json body = {{"value", value}};
    clients_[random_() % clients_.size()]->request(
        "PUT", std::string("/admin/settings/") + kSetting, body.dump(), kSubmitTimeout,
        [this, value, since = now()](const net::ClientReply& reply) {
            if (reply.outcome != net::ClientReply::Outcome::answered || reply.status != 200) return;
            for (std::size_t i = 0; i < clients_.size(); ++i) await_setting(value, i, since);
        });
}

void UserEmulator::await_setting(double value, std::size_t controller, Millis since) {
    clients_[controller]->request(
        "GET", "/admin/settings", "", kPollTimeout,
        [this, value, controller, since](const net::ClientReply& reply) {
            const Json body = Json::parse(reply.body, nullptr, false);
            const Json* current_value = body.is_object() ? wire::field(body, kSetting) : nullptr;
            const bool found =
                current_value != nullptr && current_value->is_number() && *current_value == value;
            if (found || value != setting_) {
                if (found) settings_ms_.add(static_cast<double>(now() - since));
                return;
            }
            run_later(kSettingPollInterval, [this, value, controller, since] {
                await_setting(value, controller, since);
            });
        });
}

}  // namespace nickelramp::emulator
