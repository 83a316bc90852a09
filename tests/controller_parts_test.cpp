// Tests the controller's components that read the key-value store against an emulator on loopback.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/machine_type_store.h"
#include "controller/open_job_watcher.h"
#include "controller/term_loader.h"
#include "net/address.h"
#include "tests/emulator.h"
#include "tests/event_loop.h"
#include "tests/reserved_ports.h"

namespace {

using namespace nickelramp;
using controller::LoopClock;
using controller::MachineTypeStore;
using controller::OpenJobWatcher;
using controller::TermLoader;
using controller::TermRecords;
using wire::Json;

struct ControllerPartsOnLoopback : testing::Test, test::EventLoop {
    ControllerPartsOnLoopback() {
        store = std::make_unique<test::StateServiceEmulator>(&loop, store_address);
        client = std::make_unique<kvstore::Client>(&loop, *net::parse_address(store_address),
                                                   "store", kvstore::RateLimits{1000, 1000});
    }
    // Writes the value, or deletes the key if there is no value.
    void write(const std::string& key, std::optional<Json> value) {
        kvstore::Transaction transaction;
        transaction.writes = {{key, std::move(value), 0}};
        bool done = false;
        client->commit(transaction, kvstore::RequestClass::user, 5'000,
                       [&](const kvstore::CommitReply& reply) {
                           EXPECT_EQ(reply.status, kvstore::Status::ok);
                           done = true;
                       });
        EXPECT_TRUE(until([&] { return done; }));
    }

    const test::ReservedPorts ports{2};
    const std::string store_address = ports.address(0),
                      unreachable_cloud_address = ports.address(1);
    LoopClock clock{&loop};
    std::unique_ptr<test::StateServiceEmulator> store;
    std::unique_ptr<kvstore::Client> client;
};

struct RecordingJobListener : OpenJobWatcher::Listener {
    void on_open_jobs_listed(const kvstore::ListReply&) override { ++lists; }
    void on_open_jobs_changed(const std::vector<kvstore::Entry>& entries) override {
        changes.insert(changes.end(), entries.begin(), entries.end());
        if (watcher_to_stop != nullptr) watcher_to_stop->stop();
    }
    void on_cancellations_known(Millis until) override { known_until = until; }

    int lists = 0;
    std::vector<kvstore::Entry> changes;
    Millis known_until = -1;
    OpenJobWatcher* watcher_to_stop = nullptr;
};

TEST_F(ControllerPartsOnLoopback, OpenJobWatcherReportsWritesAndDeletionsUntilItIsStopped) {
    RecordingJobListener listener;
    OpenJobWatcher watcher(clock, *client, listener);
    watcher.start(0);
    write("open/job-1", Json{{"a", 1}});
    write("run/job-1/0", Json{{"a", 1}});  // outside the watched prefix
    ASSERT_TRUE(until([&] { return listener.changes.size() == 1; }));
    EXPECT_EQ(listener.changes[0].key, "open/job-1");
    EXPECT_GE(listener.known_until, 0);
    listener.watcher_to_stop = &watcher;
    write("open/job-1", std::nullopt);
    ASSERT_TRUE(until([&] { return listener.changes.size() == 2; }));
    EXPECT_TRUE(listener.changes[1].deleted);
    const Millis known_until = listener.known_until;
    write("open/job-2", Json{{"a", 1}});
    const Millis stopped_at = clock.now();
    ASSERT_TRUE(until([&] { return clock.now() - stopped_at > 300; }));
    EXPECT_EQ(listener.changes.size(), 2u);
    EXPECT_EQ(listener.known_until, known_until);
}

struct RecordingTermListener : TermLoader::Listener {
    void on_term_records(const TermRecords& records) override { loaded.push_back(records); }
    std::vector<TermRecords> loaded;
};

struct FollowerTypeListener : MachineTypeStore::Listener {
    bool leads() const override { return false; }
    void on_machine_types(const std::vector<wire::MachineType>&) override {}
};

// Records must not be loaded before the machine types are known. An outage of the store must only
// delay the load, and no record may be loaded twice.
TEST_F(ControllerPartsOnLoopback, TermLoaderWaitsForMachineTypesAndRetriesAfterAnOutage) {
    cloud::CloudClient unreachable_cloud(&loop, *net::parse_address(unreachable_cloud_address),
                                         "cloud", 10);
    FollowerTypeListener types_listener;
    MachineTypeStore types(&loop, *client, unreachable_cloud, types_listener);
    RecordingTermListener listener;
    TermLoader loader(clock, *client, types, listener);
    for (const char* key : {"open/job-1", "open/job-2", "run/job-1/0", "block/0"})
        write(key, Json{{"a", 1}});
    write("fleet/types",
          wire::encode_machine_types({{"plain", 8, 0, 32, 50, 1, 1, 0.4, 10, {"a", "b"}}}));
    loader.start();
    const Millis started_at = clock.now();
    ASSERT_TRUE(until([&] { return clock.now() - started_at > 700; }));
    EXPECT_TRUE(listener.loaded.empty());
    types.start();
    ASSERT_TRUE(until([&] { return !types.types().empty(); }));
    store->down = true;
    const Millis down_at = clock.now();
    ASSERT_TRUE(until([&] { return clock.now() - down_at > 700; }));
    EXPECT_TRUE(listener.loaded.empty());
    store->down = false;
    ASSERT_TRUE(until([&] { return !listener.loaded.empty(); }));
    ASSERT_EQ(listener.loaded.size(), 1u);
    EXPECT_EQ(listener.loaded[0].open_jobs.entries.size(), 2u);
    EXPECT_EQ(listener.loaded[0].run_records.entries.size(), 1u);
    EXPECT_EQ(listener.loaded[0].shards.entries.size(), 1u);
    EXPECT_TRUE(listener.loaded[0].provisioning_intents.entries.empty());
    EXPECT_GT(listener.loaded[0].requested_at, down_at);
}

}  // namespace
