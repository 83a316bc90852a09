// Requests of users at several controllers. No response may contradict an earlier one under any
// fault of the key-value store, and invalid requests must be rejected.
#include <gtest/gtest.h>

#include <array>

#include "tests/simulated_users.h"
#include "tests/user_simulation.h"

namespace {

using namespace nickelramp;
using test::kRoomyType;
using test::kTinyType;
using test::SimulatedController;
using test::SimulatedStore;
using test::SimulatedUsers;
using wire::Json;

constexpr int kSteps = 300;

// Sets the faults of a step. Each fault is limited to some of the steps, so that the store recovers
// in between.
void set_faults(SimulatedUsers& users, int step, std::uint64_t seed) {
    users.store.slow_reply_rate = step >= 100 && step < 150 ? 0.4 : 0;
    users.store.failure_rate = step >= 250 ? 0.2 : 0;
    users.store.down = step >= 200 && step < 230;
    const bool rejects_one = step >= 150 && step < 210;
    for (std::size_t i = 0; i < SimulatedUsers::kControllers; ++i)
        users.controllers[i]->rejected = rejects_one && i == seed % SimulatedUsers::kControllers;
    const bool is_fault_free = step < 100;
    if (!is_fault_free && users.store.random() % 25 == 0) users.restart(users.random_controller());
}

// Makes a random controller know no machine types, only one that is too small for the jobs, or one
// that fits them.
void change_machine_types(SimulatedUsers& users) {
    if (users.store.random() % 10 != 0) return;
    const auto choice = users.store.random() % 4;
    users.controllers[users.random_controller()]->request_handler.set_machine_types(
        choice == 0   ? std::vector<wire::MachineType>{}
        : choice == 1 ? std::vector{kTinyType}
                      : std::vector{kRoomyType});
}

void run_users(SimulatedUsers& users, std::uint64_t seed) {
    users.store.retained_changes = seed % 4 == 0 ? 40 : 10'000;
    users.store.late_write_rate = seed % 3 == 0 ? 0.2 : 0.02;
    users.store.lost_reply_rate = 0.2;
    for (int step = 0; step < kSteps; ++step) {
        set_faults(users, step, seed);
        change_machine_types(users);
        users.submit("job-" + std::to_string(users.store.random() % 100'000));
        const std::string missing_job = "job-" + std::to_string(200'000 + step % 40);
        users.send(users.random_controller(),
                   step % 7 == 0 ? SimulatedUsers::cancel : SimulatedUsers::get, missing_job);
        users.store.run_until(users.store.now + users.store.random_delay(400));
        if (testing::Test::HasFailure()) return;
    }
    users.store.down = false;
    for (auto& controller : users.controllers) controller->rejected = false;
    users.finish();
}

TEST(JobRequests, AnswersNeverGoBackInTimeUnderAnyFault) {
    SimulatedUsers::Coverage total;
    std::size_t late_writes = 0, lost_replies = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        SCOPED_TRACE(seed);
        SimulatedUsers users(seed, seed % 2 == 0 ? 2 : 40);
        run_users(users, seed);
        if (HasFailure()) return;
        for (std::size_t i = 0; i < total.responses.size(); ++i)
            total.responses[i] += users.coverage.responses[i];
        total.repeated_submissions += users.coverage.repeated_submissions;
        total.cancellations_of_done_jobs += users.coverage.cancellations_of_done_jobs;
        total.checks += users.coverage.checks;
        total.restarts += users.coverage.restarts;
        late_writes += users.store.writes_applied_late;
        lost_replies += users.store.replies_lost;
    }
    for (std::size_t responses : total.responses) EXPECT_GT(responses, 2'500u);
    EXPECT_GT(total.repeated_submissions, 3'500u);
    EXPECT_GT(total.cancellations_of_done_jobs, 1'000u);
    EXPECT_GT(total.checks, 5'000u);
    EXPECT_GT(total.restarts, 60u);
    EXPECT_GT(late_writes, 80u);
    EXPECT_GT(lost_replies, 400u);
}

// Regression test: while a record was being read, it changed and the change was evicted from the
// cache. The read's outdated result was then cached, and all later users received the old status.
// The same happened when changes were lost because the store had discarded them (`expires`).
void check_that_no_outdated_read_is_cached(bool expires) {
    SimulatedStore store;
    store.retained_changes = expires ? 2 : 10'000;
    SimulatedController controller(store, expires ? 10'000 : 1);
    std::vector<std::string> statuses;  // of job-1, as its user receives them
    auto ask = [&](const std::string& id) {
        controller.handle({"GET", "/work/" + id, "", ""}, [&statuses, id](const net::Response& r) {
            const auto status = wire::text_field(*wire::decode_map(r.body), "status");
            if (id == "job-1") statuses.push_back(status.value_or("none"));
        });
        store.run_until(store.now + 200);
    };
    store.set_job_record("job-1", nullptr);
    ask("job-9");
    ask("job-9");
    store.get_reply_delay = 950;
    ask("job-1");
    store.get_reply_delay = 0;
    store.set_job_record("job-1", "done");
    if (!expires) ask("job-9");
    for (const char* id : {"job-2", "job-3"}) store.set_job_record(id, nullptr);
    ask("job-2");
    ask("job-1");
    EXPECT_EQ(statuses.size(), 0u);  // change evicted, record read still in progress
    store.run_until(store.now + 700);
    ask("job-1");
    // The first status was current when it was requested.
    EXPECT_EQ(statuses, (std::vector<std::string>{"running", "done", "done"}));
}

TEST(JobRequests, ALookupThatMissedAChangeIsNotCached) {
    for (const bool expires : {false, true}) check_that_no_outdated_read_is_cached(expires);
}

const std::array<const char*, 3> kShapes{"sweep", "ensemble", "standing"};

// Values that are invalid for the named fields. An optional field may be absent.
struct InvalidField {
    std::vector<std::string> names;
    std::vector<Json> values;
    bool optional = false;
};

std::vector<InvalidField> invalid_fields() {
    const Json too_long = std::string(201, 'x'), none = nullptr, list = Json::array({1});
    const std::string long_id = "job-" + std::string(40, '1');
    return {
        {{"id"}, {none, 5, "", "job-", "job-1a", "job--1", "job-1 ", "JOB-1", "x-1", long_id}},
        {{"jobclass", "crew", "shape", "urgency", "bundle"}, {none, 5, "", true, list, too_long}},
        {{"legs"}, {none, 0, -1, 1.5, 2.0, 100'001, 1ull << 63, INT64_MIN, "3", NAN}},
        {{"cores", "cards", "mem_gb", "pull_gb", "guess_s", "save_every_s", "save_cost_s"},
         {none, "1", -1, -0.5, NAN, INFINITY, 1e10, true, list}},
        {{"one_zone", "scatter", "standby"}, {none, 0, "no"}},
        {{"due_s"}, {"soon", -1, NAN, true}, true},
        {{"rigs"}, {"g4", 3, list, Json::object()}, true},
        {{"yard"}, {4, "", list}, true},
    };
}

// Changes to a valid submission, and the expected HTTP status for each of kShapes.
struct SubmissionCase {
    Json change;
    std::array<int, 3> status;
};

std::vector<SubmissionCase> submission_cases() {
    const std::array<int, 3> accepted{201, 201, 201}, never{422, 422, 422}, no_gang{201, 422, 201};
    return {
        {{}, accepted},
        {{{"due_s", 0}, {"guess_s", 0}, {"cards", 0}, {"save_every_s", 0}}, accepted},
        {{{"crew", "nobody"}}, never},
        {{{"rigs", Json::array()}}, never},
        {{{"rigs", {"g9"}}}, never},
        {{{"yard", "c"}}, never},
        {{{"cores", 17}, {"yard", "b"}}, never},  // the fitting type is in another zone
        {{{"rigs", {"h8"}}, {"yard", "b"}}, never},
        {{{"rigs", {"g4"}}, {"cards", 5}}, never},
        {{{"mem_gb", 257}}, never},
        {{{"crew", "green"}, {"cores", 1}}, {201, 422, 422}},  // three GPUs, the quota is two
        {{{"crew", "green"}, {"cores", 4}}, never},
        {{{"crew", "green"}, {"cores", 1}, {"legs", 2}}, accepted},
        {{{"scatter", true}}, accepted},
        {{{"scatter", true}, {"one_zone", true}}, no_gang},
        {{{"scatter", true}, {"yard", "a"}}, no_gang},
        {{{"scatter", true}, {"rigs", {"h8"}}}, no_gang},
        {{{"scatter", true}, {"one_zone", true}, {"yard", "a"}, {"legs", 1}}, accepted},
    };
}

// Sends requests to a single controller, one at a time.
class RequestChecks {
  public:
    RequestChecks() { controller_.settings.teams.push_back({"green", 0, 3, 0, 2}); }

    void allow_all_types() { controller_.request_handler.set_machine_types(types_); }

    // Returns the response's status and stores its error text in `error_`.
    int send(const char* method, const std::string& path, const std::string& body = "") {
        net::Response response{0, "", 0};
        controller_.handle({method, path, "", body},
                           [&](const net::Response& given) { response = given; });
        store_.run_until(store_.now + 2'000);
        error_ = wire::text_field(*wire::decode_map(response.body), "error").value_or("");
        return response.status;
    }

    void check_invalid_field(const InvalidField& invalid, const std::string& name,
                             const char* shape) {
        Json body = new_job(shape);
        Json without = body;
        without.erase(name);
        EXPECT_EQ(send("POST", "/work", wire::encode(without)), invalid.optional ? 201 : 400);
        for (const Json& value : invalid.values) {
            body["id"] = "job-" + std::to_string(++jobs_);
            body[name] = value;
            const std::size_t changes_before = changes();
            EXPECT_EQ(send("POST", "/work", wire::encode(body)), 400) << name << value;
            EXPECT_EQ(error_, "missing or invalid: " + name);
            EXPECT_EQ(changes(), changes_before);
        }
    }

    void check_case(const SubmissionCase& submission, std::size_t shape) {
        Json body = new_job(kShapes[shape]);
        const std::string id = body["id"], path = "/work/" + id;
        const int status = submission.status[shape];
        if (!submission.change.is_null()) body.update(submission.change);
        const std::string encoded = wire::encode(body);
        allow_all_types();
        EXPECT_EQ(send("POST", "/work", encoded), status) << submission.change << kShapes[shape];
        EXPECT_EQ(store_.keys.count("open/" + id), status == 201);
        EXPECT_EQ(send("GET", path), status == 201 ? 200 : 404);
        if (status != 201) return;
        // The job was accepted before, so it is not rejected although it no longer fits any type.
        controller_.request_handler.set_machine_types({kTinyType});
        EXPECT_EQ(send("POST", "/work", encoded), 200);
        store_.set_job_record(id, "done");
        EXPECT_EQ(send("POST", path + "/abort"), 200);
        EXPECT_EQ(store_.keys["open/" + id].first.count("unwanted"), 0u);
    }

    // Submits a job with an unknown field. It must be accepted like the job without that field.
    void check_unknown_field(const std::string& name, const Json& value) {
        Json body = new_job("sweep");
        const std::string id = body["id"];
        const Json known = body;
        body[name] = value;
        const std::string encoded = wire::encode(body);
        allow_all_types();
        EXPECT_EQ(send("POST", "/work", encoded), 201);
        EXPECT_EQ(store_.keys["open/" + id].first["spec"], known);
        EXPECT_EQ(send("POST", "/work", encoded), 200);
        EXPECT_EQ(send("POST", "/work/" + id + "/abort"), 503);
        EXPECT_EQ(store_.keys["open/" + id].first["unwanted"], true);
    }

    // Submits a job whose record has `spare_bytes` less than the store's limit, or more if
    // negative. Returns its id if it is accepted, and an empty string if it is rejected as invalid.
    std::string submit_near_limit(int spare_bytes) {
        allow_all_types();
        Json body = new_job("standing");
        body["rigs"] = {kRoomyType.name, ""};
        const auto limit = static_cast<int>(store_.max_value_bytes);
        const int padding = limit - spare_bytes - record_bytes(body);
        body["rigs"][1] = std::string(static_cast<std::size_t>(padding), 'x');
        const int status = send("POST", "/work", wire::encode(body));
        EXPECT_EQ(status, spare_bytes < 0 ? 400 : 201) << spare_bytes;
        return status == 201 ? body["id"].get<std::string>() : "";
    }

    // Cancels the job. The leader must learn of it from the record, which must not differ
    // otherwise.
    void check_cancellation(const std::string& id) {
        const std::string path = "/work/" + id + "/abort";
        const Json description = store_.keys["open/" + id].first["spec"];
        EXPECT_EQ(send("POST", path), 503);
        const Json& record = store_.keys["open/" + id].first;
        const auto read = jobs::decode_open_record(record);
        ASSERT_TRUE(read);
        EXPECT_TRUE(read->cancel_requested);
        EXPECT_FALSE(read->cancelled);
        EXPECT_EQ(record["spec"], description);
        const std::size_t changes_before = changes();
        EXPECT_EQ(send("POST", path), 503);
        EXPECT_EQ(changes(), changes_before);
        store_.set_job_record(id, "withdrawn");
        EXPECT_EQ(send("POST", path), 200);
    }

    // The number of changes to records so far.
    std::size_t changes() const { return store_.log.size(); }

  private:
    static int record_bytes(const Json& description) {
        const Json record = jobs::encode_open_record(description, test::kAcceptedWallMs);
        return static_cast<int>(record.dump().size());
    }

    Json new_job(const char* shape) {
        return test::job("job-" + std::to_string(++jobs_), shape, 3, 1);
    }

    SimulatedStore store_;
    SimulatedController controller_{store_};
    const std::vector<wire::MachineType> types_{kRoomyType,
                                                {"h8", 64, 8, 256, 50, 1, 10, 4, 10, {"a"}}};
    std::string error_;
    int jobs_ = 0;
};

std::string encoded_job(const Json& change) {
    Json body = test::job("job-1", "sweep", 3, 1);
    if (!change.is_null()) body.update(change);
    return wire::encode(body);
}

// The number of tasks is -2^64 + 3, which the CBOR library wraps to 2. Regression test: such a job
// was accepted.
std::string job_with_wrapped_task_count() {
    std::string body = encoded_job({});
    const auto count = body.find("legs\3") + 4;
    EXPECT_GT(count, 4u);
    const std::string below_64_bits = "\x3b\xff\xff\xff\xff\xff\xff\xff\xfd";
    body.replace(count, 1, below_64_bits);
    EXPECT_EQ((*wire::decode_map(body))["legs"], 2);
    return body;
}

std::vector<std::string> invalid_bodies() {
    // Regression test: a long description with invalid UTF-8 terminated the process.
    const std::string not_utf8(5'000, '\xff');
    return {"",
            "job",
            wire::encode(Json::array({1})),
            std::string(60'000, '\x81'),
            std::string(64'000, '\x7f'),  // regression test: it ended the process
            std::string(64'000, '\x5f'),
            encoded_job({{"later", not_utf8}}),
            encoded_job({{"bundle", "\xff"}}),
            encoded_job({{not_utf8, 1}}),
            encoded_job({{"later", Json::binary({1, 2})}}),
            encoded_job({{"rigs", {std::string(9'000, 'x')}}}),
            encoded_job({{"rigs", {std::string(2'000, '\1')}}}),
            job_with_wrapped_task_count()};
}

// Guards against storing fields that the receiver has to ignore, and against refusing jobs for
// them.
TEST(JobRequests, UnknownFieldsAreIgnoredAndNotStored) {
    RequestChecks checks;
    Json nested = nullptr;
    for (int level = 0; level < 1'000; ++level) nested = Json{{"from", std::move(nested)}};
    checks.check_unknown_field("later", "value");
    checks.check_unknown_field("later", nested);
    checks.check_unknown_field("later", std::string(50'000, 'x'));
    checks.check_unknown_field("unwanted", true);
    checks.check_unknown_field("spec", {{"id", "job-7"}});
}

// Guards against a cancellation that is never answered: the request made the record of a job whose
// description just fits too long for the store, which refused it each time.
TEST(JobRequests, AJobWhoseRecordJustFitsTheStoreCanBeCancelled) {
    RequestChecks checks;
    constexpr int kLongerThanAnyRequest = 40;  // bytes
    for (int spare_bytes = -2; spare_bytes <= kLongerThanAnyRequest; ++spare_bytes) {
        SCOPED_TRACE(spare_bytes);
        const std::string id = checks.submit_near_limit(spare_bytes);
        if (!id.empty()) checks.check_cancellation(id);
        if (HasFailure()) return;
    }
}

TEST(JobRequests, AllKnownFieldsAreKept) {
    const Json full = test::job("job-1", "sweep", 3, 1);
    EXPECT_EQ(wire::known_job_fields(full), full);
    for (const auto& [name, value] : full.items()) {
        Json without = full;
        without.erase(name);
        EXPECT_EQ(wire::known_job_fields(without), without);
    }
}

TEST(JobRequests, InvalidRequestsAreRejectedAndLeaveNothing) {
    RequestChecks checks;
    for (std::size_t shape = 0; shape < kShapes.size(); ++shape) {
        checks.allow_all_types();
        for (const InvalidField& invalid : invalid_fields()) {
            for (const std::string& name : invalid.names)
                checks.check_invalid_field(invalid, name, kShapes[shape]);
        }
        for (const SubmissionCase& submission : submission_cases())
            checks.check_case(submission, shape);
    }
    checks.allow_all_types();
    const std::size_t changes_before = checks.changes();
    for (const std::string& body : invalid_bodies())
        EXPECT_EQ(checks.send("POST", "/work", body), 400);
    EXPECT_EQ(checks.send("POST", "/work/job-777777/abort"), 404);
    EXPECT_EQ(checks.send("GET", "/work/job-777777"), 404);
    for (const char* id : {"job-", "job-x", "-1", "job-1%20", "x"}) {
        EXPECT_EQ(checks.send("GET", std::string("/work/") + id), 400);
        EXPECT_EQ(checks.send("POST", std::string("/work/") + id + "/abort"), 400);
    }
    EXPECT_EQ(checks.changes(), changes_before);
}

}  // namespace
