/// @file
/// Tests that whatever users submit, the records of jobs can be read back from the state service,
/// and that no record keeps a controller from reading the others.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "controller/open_job_watcher.h"
#include "jobs/job_keys.h"
#include "jobs/job_records.h"
#include "kvstore/client.h"
#include "kvstore/protocol.h"
#include "net/address.h"
#include "tests/cluster_simulation.h"
#include "tests/emulator.h"
#include "tests/event_loop.h"
#include "tests/reserved_ports.h"

namespace {

using namespace nickelramp;
using wire::Json;

constexpr std::size_t kMaxAcceptedDepth = 2048;

// Returns lists and maps inside one another, `depth` levels deep.
Json nested(std::size_t depth) {
    Json value = nullptr;
    for (std::size_t level = 0; level < depth; ++level)
        value = level % 2 == 0 ? Json::array({std::move(value)}) : Json{{"from", std::move(value)}};
    return value;
}

// Returns a submission that is nested `depth` levels deep in all, and has a text of that length.
Json submission(const std::string& id, std::size_t depth, std::size_t text_bytes) {
    Json body = test::job(id, "sweep", 1, 0);
    body["lineage"] = nested(depth - 1);
    body["text"] = std::string(text_bytes, 'x');
    return body;
}

net::ClientReply answered(const Json& body) {
    return {net::ClientReply::Outcome::answered, 200, wire::encode(body), 0};
}

void expect_job(kvstore::Status status, const kvstore::Entry& entry) {
    ASSERT_EQ(status, kvstore::Status::ok);
    const auto record = jobs::decode_open_record(entry.value);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->spec.id, "job-1");
}

// Checks all replies of the state service in which a record may arrive.
void expect_readable(const Json& record) {
    const Json item = {{"path", "open/job-1"}, {"v", record}, {"stamp", 5}};
    const Json change = {{"set", "open/job-1"}, {"v", record}, {"stamp", 5}};
    const auto get = kvstore::parse_get_reply(answered(item));
    expect_job(get.status, get.entry);
    const auto list = kvstore::parse_list_reply(
        answered({{"items", Json::array({item})}, {"truncated", false}, {"epoch", 5}}));
    ASSERT_EQ(list.entries.size(), 1u);
    expect_job(list.status, list.entries[0]);
    const auto changes =
        kvstore::parse_changes_reply(answered({{"news", Json::array({change})}, {"epoch", 5}}));
    ASSERT_EQ(changes.entries.size(), 1u);
    expect_job(changes.status, changes.entries[0]);
}

// Guards against a limit that a submission keeps to, and its record in a reply of the state service
// exceeds.
TEST(StoredSubmissions, WhateverIsAcceptedCanBeReadBack) {
    for (const std::size_t depth :
         {2, 27, 28, 29, 30, 31, 32, 33, 40, 500, 2044, 2047, 2048, 2049}) {
        for (const std::size_t text_bytes : {0, 3'000, 20'000}) {
            SCOPED_TRACE(std::to_string(depth) + " levels, " + std::to_string(text_bytes));
            const Json body = submission("job-1", depth, text_bytes);
            const auto accepted = wire::decode_map(wire::encode(body));
            EXPECT_EQ(accepted.has_value(), depth <= kMaxAcceptedDepth);
            if (accepted) expect_readable(jobs::encode_open_record(*accepted, 1));
            if (HasFailure()) return;
        }
    }
}

// A watch of the open jobs as the leader has it, against the emulated state service.
struct OpenJobsOnLoopback : testing::Test, test::EventLoop, controller::OpenJobWatcher::Listener {
    void SetUp() override {
        emulator = std::make_unique<test::StateServiceEmulator>(&loop, ports.address());
        client = std::make_unique<kvstore::Client>(&loop, *net::parse_address(ports.address()),
                                                   "state", kvstore::RateLimits{5'000, 5'000});
        watcher = std::make_unique<controller::OpenJobWatcher>(clock, *client, *this);
    }

    // Writes a record that contains the whole submission, as earlier versions did.
    void write(const Json& body) {
        kvstore::Transaction transaction;
        transaction.writes = {{jobs::open_key(body["id"]), jobs::encode_open_record(body, 1), 0}};
        std::optional<kvstore::Status> status;
        client->commit(transaction, kvstore::RequestClass::user, 5'000,
                       [&](const kvstore::CommitReply& reply) { status = reply.status; });
        ASSERT_TRUE(until([&] { return status.has_value(); }));
        ASSERT_EQ(*status, kvstore::Status::ok);
    }
    void on_open_jobs_listed(const kvstore::ListReply& all) override {
        on_open_jobs_changed(all.entries);
    }
    void on_open_jobs_changed(const std::vector<kvstore::Entry>& changes) override {
        for (const kvstore::Entry& entry : changes) {
            if (const auto record = jobs::decode_open_record(entry.value))
                known.insert(record->spec.id);
        }
    }
    void on_cancellations_known(Millis) override { ++confirmations; }

    const test::ReservedPorts ports;
    controller::LoopClock clock{&loop};
    std::unique_ptr<test::StateServiceEmulator> emulator;
    std::unique_ptr<kvstore::Client> client;
    std::unique_ptr<controller::OpenJobWatcher> watcher;
    std::set<std::string> known;  // jobs that the leader has been told of
    int confirmations = 0;
};

// Guards against a record that makes all replies with it unreadable: no job was started any more,
// by the next leader either, which lists the open jobs.
TEST_F(OpenJobsOnLoopback, ADeeplyNestedRecordHidesNoOtherJob) {
    for (const std::size_t depth : {30, 32, 2'000}) {
        SCOPED_TRACE(depth);
        const std::string number = std::to_string(depth);
        const std::string nested_id = "job-1" + number, next_id = "job-2" + number;
        watcher->start(1);
        write(submission(nested_id, depth, 3'000));
        write(test::job(next_id, "sweep", 1, 0));
        EXPECT_TRUE(until([&] { return known.count(nested_id) + known.count(next_id) == 2; }));
        watcher->stop();
        std::optional<kvstore::ListReply> listed;
        client->list("open/", kvstore::RequestClass::election,
                     [&](kvstore::ListReply reply) { listed = std::move(reply); });
        ASSERT_TRUE(until([&] { return listed.has_value(); }));
        EXPECT_EQ(listed->status, kvstore::Status::ok);
        if (HasFailure()) return;
    }
}

// Guards against repeating a watch whose reply is longer than a controller takes, while no job that
// came after it is known.
TEST_F(OpenJobsOnLoopback, ManyLongRecordsAreListedWhenTheWatchReplyIsTooLong) {
    constexpr std::size_t kJobs = 300, kTextBytes = 30'000;  // 9 MB, more than a reply may have
    for (std::size_t n = 0; n < kJobs; ++n)
        write(submission("job-" + std::to_string(n), 2, kTextBytes));
    watcher->start(1);
    EXPECT_TRUE(until([&] { return known.size() == kJobs; }));
    write(test::job("job-9999", "sweep", 1, 0));
    EXPECT_TRUE(until([&] { return known.count("job-9999") == 1; }));
    EXPECT_GT(confirmations, 0);
}

}  // namespace
