// Tests the recorded answers to job requests of users, and the transactions of submissions and
// cancellations.
#include "api/job_request_handler.h"
#include "tests/golden.h"
#include "tests/golden_samples.h"
#include "tests/user_simulation.h"

namespace {

using namespace nickelramp;
using test::golden::full_job;
using test::golden::minimal_job;
using test::golden::with;
using test::golden::without;
using wire::Json;

// A controller that records its transactions.
struct RecordingController : test::SimulatedController {
    using test::SimulatedController::SimulatedController;
    std::vector<kvstore::Transaction> transactions;
    void commit(const kvstore::Transaction& transaction, Millis wait,
                Done<kvstore::CommitReply> done) override {
        transactions.push_back(transaction);
        test::SimulatedController::commit(transaction, wait, std::move(done));
    }
};

class GoldenUsers : public test::golden::Recorded {
  protected:
    GoldenUsers() {
        store.random.seed(1);
        store.now = 1'000;
        controller.settings.teams.push_back({"vision", 100, 1000, 10, 20});
        controller.settings.state_value_kb = 4;
        request_handler.set_machine_types(kTypes);
    }
    // Returns the answer, or "none" if there is none within the time that users wait.
    std::string ask(const std::string& method, const std::string& path,
                    const std::string& body = "") {
        std::string out = "none";
        const bool taken = request_handler.handle({method, path, "", body},
                                                  [&](const net::Response& r) { out = shown(r); });
        if (!taken) return "not the desk's";
        store.run_until(store.now + 10'000);
        return out;
    }
    std::string submit(const Json& job) { return ask("POST", "/work", wire::encode(job)); }
    static std::string shown(const net::Response& r) {
        const auto body = wire::decode_map(r.body);
        return std::to_string(r.status) + " " + r.type + ", retry after " +
               std::to_string(r.retry_after_s) + (r.close ? ", closes" : "") + "\n" +
               (body ? body->dump() : "no map") + "\n" + test::golden::shown_bytes(r.body);
    }
    std::string stored() const {
        std::string out;
        for (const auto& [key, kept] : store.keys)
            out += key + " = " + test::golden::shown_value(kept.first) + "\n";
        return out;
    }
    // Applies the writes that the leader makes when no task of the job is left.
    void finish(const std::string& id, const char* final) {
        store.set_job_record(id, final);
        store.apply({{}, {{jobs::open_key(id), std::nullopt}}});
    }

    const std::vector<wire::MachineType> kTypes{{"g8", 96, 8, 768, 500, 1, 24, 8, 90, {"a", "b"}},
                                                {"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a"}}};
    test::SimulatedStore store;
    RecordingController controller{store};
    std::uint64_t done = 0, running = 0;
    api::JobRequestHandler request_handler{
        controller.settings,
        controller,
        controller.reads,
        {[] { return std::int64_t{1'700'000'000'123}; }, [this] { return store.now; },
         [](const char*, int, Millis) {},
         [this](const std::string&) {
             return wire::TaskCounts{done, running};
         }}};
};

TEST_F(GoldenUsers, SubmissionsAreStoredAndAnswered) {
    text("full, answer", submit(full_job()));
    text("minimal, answer", submit(minimal_job()));
    text("stored", stored());
    ASSERT_EQ(controller.transactions.size(), 2u);
    transaction("full, transaction", controller.transactions[0]);
    transaction("minimal, transaction", controller.transactions[1]);
    text("again", submit(full_job()));
    running = 2;
    text("again while it runs", submit(full_job()));
    finish("job-000412", "done");
    text("again when it is done", submit(full_job()));
}

TEST_F(GoldenUsers, ConflictingSubmissionsAreAnsweredWithTheKnownJob) {
    // Another controller has accepted the job. This one detects that by the conflict.
    store.set_job_record("job-1", nullptr);
    text("answer", submit(minimal_job()));
    finish("job-1", "withdrawn");
    text("answer when it is cancelled", submit(minimal_job()));
}

TEST_F(GoldenUsers, StatusOfAJobIsAnswered) {
    text("not known", ask("GET", "/work/job-9"));
    submit(minimal_job());
    text("pending", ask("GET", "/work/job-1"));
    done = 1;
    text("pending, some done", ask("GET", "/work/job-1"));
    running = 3;
    text("running", ask("GET", "/work/job-1"));
    finish("job-1", "done");
    text("done", ask("GET", "/work/job-1"));
    finish("job-1", "withdrawn");
    text("cancelled", ask("GET", "/work/job-1"));
}

TEST_F(GoldenUsers, CancellationsAreStoredAndAnswered) {
    text("not known", ask("POST", "/work/job-9/abort"));
    submit(minimal_job());
    text("not over yet", ask("POST", "/work/job-1/abort"));
    text("again", ask("POST", "/work/job-1/abort"));
    ASSERT_EQ(controller.transactions.size(), 2u);
    transaction("transaction", controller.transactions[1]);
    text("stored", stored());
    finish("job-1", "withdrawn");
    text("over", ask("POST", "/work/job-1/abort"));
    Json other = with(minimal_job(), "id", "job-2");
    submit(other);
    finish("job-2", "done");
    text("done before", ask("POST", "/work/job-2/abort"));
    // The job ends while the user waits for the answer.
    submit(with(minimal_job(), "id", "job-3"));
    store.at(store.now + 700, [this] { finish("job-3", "withdrawn"); });
    text("over at once", ask("POST", "/work/job-3/abort"));
}

TEST_F(GoldenUsers, BadRequestsAreRejected) {
    text("no CBOR", ask("POST", "/work", "plain text"));
    text("no body", ask("POST", "/work"));
    text("a list", ask("POST", "/work", wire::encode(Json::array({1}))));
    text("binary data", submit(with(full_job(), "later", Json::binary({1}))));
    text("missing field", submit(without(full_job(), "crew")));
    text("wrong field", submit(with(full_job(), "legs", 0)));
    text("too long", submit(with(full_job(), "rigs", Json::array({std::string(4096, 'x')}))));
    text("no UTF-8", submit(with(full_job(), "later", "\xff")));
    text("PUT /work", ask("PUT", "/work"));
    text("GET /work", ask("GET", "/work"));
    text("POST of a job", ask("POST", "/work/job-1"));
    text("GET of a cancellation", ask("GET", "/work/job-1/abort"));
    text("DELETE of a job", ask("DELETE", "/work/job-1"));
    for (const char* path : {"/work/", "/work/x", "/work/job-1/x", "/work/x/abort", "/work/abort",
                             "/work/job-1/abort/x", "/works", "/", "/job/job-1"})
        text(path, ask("GET", path));
    EXPECT_TRUE(controller.transactions.empty());
}

TEST_F(GoldenUsers, JobsThatCanNeverRunAreRejected) {
    const Json good = full_job();
    text("unknown team", submit(with(good, "crew", "nobody")));
    text("too large a task", submit(with(good, "cores", 97)));
    text("no such type", submit(with(good, "rigs", {"m1"})));
    text("no type at all", submit(with(good, "rigs", Json::array())));
    text("type not in the zone", submit(with(with(good, "rigs", {"g4"}), "yard", "b")));
    text("beyond the limit of processors", submit(with(with(good, "cores", 90), "cards", 0)));
    text("beyond the limit of gpus", submit(with(good, "cards", 2)));
    text("sweeps count one task", submit(with(with(good, "cards", 2), "shape", "sweep")));
    const Json gang = with(with(good, "id", "job-4"), "scatter", true);
    text("scattered, one_zone", submit(gang));
    text("scattered, a zone is named", submit(with(gang, "one_zone", false)));
    text("scattered, its type is in one zone",
         submit(with(with(without(gang, "yard"), "one_zone", false), "rigs", {"g4"})));
    Json service = with(with(good, "scatter", true), "shape", "standing");
    text("scattered service", submit(with(service, "id", "job-5")));
    // A job that was accepted earlier is not rejected.
    submit(with(minimal_job(), "id", "job-7"));
    request_handler.set_machine_types({{"tiny", 0, 0, 0, 0, 1, 1, 1, 1, {"a"}}});
    text("known already", submit(with(with(full_job(), "id", "job-7"), "crew", "nobody")));
}

TEST_F(GoldenUsers, StateServiceFailuresAreAnsweredWithRetryLater) {
    request_handler.set_machine_types({});
    text("types are not known", submit(minimal_job()));
    request_handler.set_machine_types(kTypes);
    submit(minimal_job());
    store.down = true;
    text("submission", submit(full_job()));
    text("status", ask("GET", "/work/job-1"));
    text("cancellation", ask("POST", "/work/job-1/abort"));
    store.down = false;
    store.lost_reply_rate = 1;
    text("unknown outcome", submit(full_job()));
    text("unknown outcome of a cancellation", ask("POST", "/work/job-1/abort"));
}

}  // namespace
