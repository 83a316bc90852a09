/// @file
/// Simulated users of three controllers, with a model of the statuses that each user has received.
/// Checks that no response contradicts an earlier one.
#pragma once
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/user_simulation.h"

namespace nickelramp::test {

inline const wire::MachineType kRoomyType{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}};
inline const wire::MachineType kTinyType{"g1", 1, 1, 2, 50, 1, 10, 4, 10, {"a"}};

class SimulatedUsers {
  public:
    enum RequestKind { get, post, cancel };
    /// What a user knows about a job. It never changes back to an earlier value of this list, and
    /// `done` and `cancelled` exclude each other.
    enum Knowledge { nothing, accepted, done, cancelled };
    static constexpr std::size_t kControllers = 3;
    static constexpr std::size_t kKnowledgeStates = 4;
    static constexpr int kMaxAttempts = 12;

    /// Counts of the situations that the test must cover.
    struct Coverage {
        std::array<std::size_t, kKnowledgeStates> responses{};
        std::size_t repeated_submissions = 0, cancellations_of_done_jobs = 0, checks = 0,
                    restarts = 0;
    };

    SimulatedUsers(std::uint64_t seed, std::size_t cache_generation_size)
        : cache_generation_size_(cache_generation_size) {
        store.random.seed(seed);
        for (std::size_t i = 0; i < kControllers; ++i) controllers.push_back(make_controller());
        end_random_job();
        tick();
    }

    std::size_t random_controller() { return store.random() % kControllers; }

    void restart(std::size_t index) {
        ++coverage.restarts;
        controllers[index]->dead = true;
        dead_.push_back(std::exchange(controllers[index], make_controller()));
    }

    void send(std::size_t controller, RequestKind kind, const std::string& id) {
        send(controller, kind, id, {});
    }

    /// Submits the job, with up to `attempts` retries until it is accepted or rejected. If it is
    /// accepted, checks its status and sometimes cancels it.
    void submit(const std::string& id, int attempts = kMaxAttempts) {
        send(random_controller(), post, id, [this, id, attempts](int status) {
            if (status == 200 || status == 201) {
                check(id);
                if (store.random() % 3 == 0) cancel_job(id);
            } else if (status != 422 && attempts > 0) {
                store.at(store.now + (store.random() % 3 == 0 ? 1 : 1'000),
                         [this, id, attempts] { submit(id, attempts - 1); });
            }
        });
    }

    /// Ends the random faults of the store. Checks that every controller then returns the status of
    /// every job, and that every request had exactly one response unless its controller restarted.
    void finish() {
        store.late_write_rate = store.lost_reply_rate = store.slow_reply_rate = store.failure_rate =
            0;
        store.run_until(store.now + 20'000);
        const std::size_t sent_before = requests_.size();
        for (const auto& [id, job] : std::map(jobs_)) {
            for (std::size_t i = 0; i < kControllers; ++i) send(i, get, id);
            store.run_until(store.now + 20);
        }
        store.run_until(store.now + 6'000);
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            const SentRequest& request = *requests_[i];
            const bool was_lost = request.controller->dead && request.responses == 0;
            EXPECT_EQ(request.responses, was_lost ? 0 : 1) << request.id << " " << request.sent_at;
            if (i < sent_before) continue;
            const bool exists = store.keys.count("job/" + request.id) != 0;
            EXPECT_EQ(request.status, exists ? 200 : 404) << request.id;
        }
    }

    SimulatedStore store;
    std::vector<std::unique_ptr<SimulatedController>> controllers;
    Coverage coverage;

  private:
    // Called with the HTTP status, or with 0 if there is no response in time.
    using OnStatus = std::function<void(int status)>;

    struct SentRequest {
        RequestKind kind;
        std::string id;
        Millis sent_at;
        Knowledge known_before;  // what the job's user knew when it was sent
        SimulatedController* controller;
        int responses = 0, status = 0;
    };
    struct Job {
        Knowledge known = nothing;
        bool was_submitted = false, was_cancelled = false, was_done = false;
    };

    std::unique_ptr<SimulatedController> make_controller() {
        auto controller = std::make_unique<SimulatedController>(store, cache_generation_size_);
        controller->request_handler.set_machine_types({kRoomyType});
        return controller;
    }

    void tick() {
        for (auto& controller : controllers) controller->run_due_work();
        store.at(store.now + 200, [this] { tick(); });
    }

    void send(std::size_t controller, RequestKind kind, const std::string& id,
              const OnStatus& then) {
        Job& job = jobs_[id];
        auto request = std::make_shared<SentRequest>(
            SentRequest{kind, id, store.now, job.known, controllers[controller].get()});
        requests_.push_back(request);
        if (kind == post) job.was_submitted = true;
        if (kind == cancel) job.was_cancelled = true;
        if (then) {
            store.at(store.now + 5'000, [request, then] {
                if (request->responses == 0) then(0);
            });
        }
        controllers[controller]->handle(http_request(kind, id),
                                        [this, request, then](const net::Response& response) {
                                            on_response(*request, response);
                                            if (then) then(response.status);
                                        });
    }

    static net::Request http_request(RequestKind kind, const std::string& id) {
        net::Request request{kind == get ? "GET" : "POST", "/work", "", ""};
        if (kind == post)
            request.body = wire::encode(test::job(id, "sweep", 3, 1));
        else
            request.path += "/" + id + (kind == cancel ? "/abort" : "");
        return request;
    }

    void on_response(SentRequest& request, const net::Response& response) {
        SCOPED_TRACE(request.id + " kind " + std::to_string(request.kind) + " at " +
                     std::to_string(request.sent_at));
        EXPECT_EQ(++request.responses, 1);
        request.status = response.status;
        EXPECT_LE(store.now - request.sent_at, request.kind == get ? 2'000 : 5'000);
        if (response.status == 503) return;
        if (response.status >= 400) {
            EXPECT_EQ(request.known_before, nothing) << response.status;
            EXPECT_EQ(response.status, request.kind == post ? 422 : 404);
            ++coverage.responses[nothing];
            return;
        }
        const std::string status =
            wire::text_field(*wire::decode_map(response.body), "status").value_or("");
        check_knowledge(request, status == "done"        ? done
                                 : status == "withdrawn" ? cancelled
                                                         : accepted);
        if (request.kind == post && response.status == 200) ++coverage.repeated_submissions;
    }

    void check_knowledge(const SentRequest& request, Knowledge given) {
        Job& job = jobs_[request.id];
        EXPECT_TRUE(job.was_submitted) << "status of a job that was never submitted";
        EXPECT_GE(given, request.known_before);
        if (job.known > accepted && (given > accepted || request.known_before > accepted)) {
            EXPECT_EQ(given, job.known);
        }
        if (request.kind == cancel) {
            EXPECT_GT(given, accepted);
            coverage.cancellations_of_done_jobs += given == done;
        }
        if (given == done) {
            EXPECT_TRUE(job.was_done);
        }
        if (given == cancelled) {
            EXPECT_TRUE(job.was_cancelled);
        }
        job.known = std::max(job.known, given);
        ++coverage.responses[given];
    }

    // Requests the job's status from all controllers and submits the job again, all within
    // milliseconds.
    void check(const std::string& id) {
        ++coverage.checks;
        for (std::size_t i = 0; i < kControllers; ++i) {
            store.at(store.now + store.random_delay(5), [this, i, id] { send(i, get, id); });
        }
        store.at(store.now + store.random_delay(5),
                 [this, id] { send(random_controller(), post, id); });
    }

    void cancel_job(const std::string& id, int attempts = kMaxAttempts) {
        send(random_controller(), cancel, id, [this, id, attempts](int status) {
            if (status == 200)
                check(id);
            else if (attempts > 0)
                store.at(store.now + 1'000, [this, id, attempts] { cancel_job(id, attempts - 1); });
        });
    }

    // Simulates the leader by ending jobs at random intervals. A job does not end if its open
    // record has changed since it was read. Some jobs are cancelled at about the same time, and
    // each ended job is checked.
    void end_random_job() {
        store.at(store.now + store.random_delay(60), [this] { end_random_job(); });
        const auto open = store.keys.lower_bound("open/job-" + std::to_string(store.random() % 10));
        if (store.down || open == store.keys.end() || open->first.rfind("open/", 0) != 0) return;
        const std::string id = open->first.substr(5);
        const bool is_cancelled = jobs::is_cancel_requested(open->second.first);
        if (!is_cancelled && store.random() % 4 != 0) return;
        kvstore::Transaction transaction;
        transaction.conditions = {{open->first, open->second.second}};
        transaction.writes = {
            {jobs::job_key(id),
             wire::Json{{"final", is_cancelled ? "withdrawn" : "done"}, {"tasks", 3}}},
            {open->first, std::nullopt}};
        const Millis lateness = store.chance(store.late_write_rate) ? 3'000 : 0;
        const Millis end = store.now + lateness + store.random_delay(100);
        if (!is_cancelled && store.random() % 3 == 0) {
            store.at(std::max(store.now, end - 60) + store.random_delay(100),
                     [this, id] { cancel_job(id); });
        }
        store.at(end, [this, transaction, id, is_cancelled] {
            if (store.apply(transaction).status != kvstore::Status::ok) return;
            if (!is_cancelled) jobs_[id].was_done = true;
            check(id);
        });
    }

    std::size_t cache_generation_size_;
    std::vector<std::unique_ptr<SimulatedController>> dead_;
    std::vector<std::shared_ptr<SentRequest>> requests_;
    std::map<std::string, Job> jobs_;
};

}  // namespace nickelramp::test
