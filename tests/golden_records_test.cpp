// Tests the recorded keys and bytes of records in the state service, and the decoding of records of
// earlier versions.
#include <limits>

#include "admin/options.h"
#include "admin/request_handler.h"
#include "api/confirmed_reads.h"
#include "autoscaling/intent_log.h"
#include "election/election.h"
#include "jobs/job.h"
#include "lease/role.h"
#include "roles/garbage_collector.h"
#include "shards/shard_lease_table.h"
#include "tests/golden.h"
#include "tests/golden_samples.h"

namespace {

using namespace nickelramp;
using lease::Role;
using test::golden::full_job;
using test::golden::minimal_job;
using test::golden::received;
using wire::Json;

using GoldenRecords = test::golden::Recorded;

constexpr std::uint64_t kAllTasks = std::numeric_limits<std::uint64_t>::max();

// Returns "read" or "refused" for each value, one per line.
template <typename Read>
std::string verdicts(const std::vector<Json>& values, Read read) {
    std::string out;
    for (const Json& value : values)
        out += value.dump() + ": " + (read(received(value)) ? "read" : "refused") + "\n";
    return out;
}

TEST_F(GoldenRecords, KeysOfAllRecords) {
    text("job", jobs::job_key("job-000412"));
    text("open job", jobs::open_key("job-000412"));
    text("run, first chunk", jobs::run_key("job-000412", 0));
    text("run, last chunk", jobs::run_key("job-000412", 1562));
    text("block", shards::shard_key(0) + "\n" + shards::shard_key(4294967295u));
    text("seat", election::kLeaderKey);
    text("term", election::kTermKey);
    text("options", admin::kOptionsKey);
    text("sweep cursor", roles::kCursorKey);
    std::string duty_keys;
    for (Role role : lease::kAllRoles) duty_keys += lease::role_key(role) + "\n";
    text("duties", duty_keys);
    text("duties prefix", lease::kRoleKeyPrefix);
    text("intents prefix", autoscaling::kIntentKeyPrefix);
    text("intents", autoscaling::intent_key(Role::scale_out, 7) + "\n" +
                        autoscaling::intent_key(Role::scale_in, 18446744073709551615u));
}

TEST_F(GoldenRecords, KeysAreReadAsTheyWere) {
    std::string open, run, block, intent, duty;
    for (const char* key : {"open/job-1", "open/job-000412", "open/", "open/job-", "open/job-x",
                            "open/other-1", "open/job-1/2", "job/job-1", "Open/job-1", ""})
        open += std::string(key) + " -> '" + jobs::job_id_of_open_key(key) + "'\n";
    for (const char* key :
         {"run/job-1/0", "run/job-000412/1562", "run/job-1/", "run/job-1/x", "run/job-1/0x",
          "run/job-1", "run//0", "run/job-1/-1", "run/job-1/4294967296", "open/job-1/0"}) {
        const auto read = jobs::parse_run_key(key);
        run += std::string(key) + " -> " +
               (read ? read->job_id + " " + std::to_string(read->chunk) : "none") + "\n";
    }
    for (const char* key : {"block/0", "block/4294967295", "block/4294967296", "block/", "block/x",
                            "block/1x", "blocks/1"}) {
        const auto number = shards::parse_shard_key(key);
        block += std::string(key) + " -> " + (number ? std::to_string(*number) : "none") + "\n";
    }
    for (const char* key : {"intent/renting/7", "intent/returning/18446744073709551615",
                            "intent/renting/", "intent/renting/x", "intent/reclaiming/7",
                            "intent/cleaning/7", "intent/7", "duty/renting"}) {
        const auto read = autoscaling::parse_intent_key(key);
        intent += std::string(key) + " -> " +
                  (read ? std::string(lease::name(read->first)) + " " + std::to_string(read->second)
                        : "none") +
                  "\n";
    }
    for (const char* key : {"duty/renting", "duty/returning", "duty/reclaiming", "duty/cleaning",
                            "duty/", "duty/else", "renting"}) {
        const auto read = lease::role_of_key(key);
        duty += std::string(key) + " -> " +
                (read ? std::to_string(static_cast<int>(*read)) : "none") + "\n";
    }
    text("open job", open);
    text("run", run);
    text("block", block);
    text("intents", intent);
    text("duty", duty);
}

TEST_F(GoldenRecords, OpenJobWithEveryFieldKeepsItsBytes) {
    value("full", jobs::encode_open_record(full_job(), 1'700'000'000'123));
    // The first versions told users at once, and set the field that is false in new records.
    Json cancelled = jobs::encode_open_record(full_job(), 1'700'000'000'123);
    cancelled["cancelled"] = true;
    value("cancelled", cancelled);
    value("minimal", jobs::encode_open_record(minimal_job(), 0));
    Json to_be_cancelled = jobs::encode_open_record(minimal_job(), 0);
    jobs::request_cancel(to_be_cancelled);
    value("cancel requested", to_be_cancelled);
    value("fields of later versions", jobs::encode_open_record({{"later", {1, 2.5, "x"}}}, -1));
}

TEST_F(GoldenRecords, OpenJobsAreReadAsTheyWere) {
    auto show = [](const Json& record) {
        const auto read = jobs::decode_open_record(record);
        if (!read) return std::string("refused");
        return test::golden::shown_job(read->spec) + "accepted at " +
               std::to_string(read->accepted_wall_ms) + "\ncancelled " +
               std::to_string(read->cancelled) + "\nunwanted " +
               std::to_string(read->cancel_requested);
    };
    text("full", show({{"spec", full_job()}, {"at", 1'700'000'000'123}, {"cancelled", true}}));
    text("unwanted", show({{"spec", minimal_job()}, {"at", 5}, {"unwanted", true}}));
    text("only a description", show({{"spec", minimal_job()}}));
    Json bad_job = minimal_job();
    bad_job["legs"] = 0;
    text("verdicts", verdicts({Json::object(),
                               Json(),
                               Json::array(),
                               {{"spec", nullptr}},
                               {{"spec", Json::object()}},
                               {{"spec", bad_job}},
                               {{"description", minimal_job()}},
                               {{"spec", minimal_job()}, {"at", "x"}, {"cancelled", 1}}},
                              jobs::decode_open_record));
}

TEST_F(GoldenRecords, JobRecordsAreReadAsTheyWere) {
    std::string out;
    for (const Json& record :
         {Json{{"final", nullptr}, {"tasks", 3}}, Json{{"final", "done"}, {"tasks", 100'000}},
          Json{{"final", "withdrawn"}, {"tasks", 1}}, Json{{"final", "cancelled"}, {"tasks", 1}},
          Json{{"final", "pending"}}, Json{{"final", 5}, {"tasks", "x"}}, Json::object(), Json(),
          Json::array(), Json("done")}) {
        const auto status = api::decode_recorded_status(record, 77);
        out += record.dump() + ": ";
        if (status)
            out += "version " + std::to_string(status->version) + ", tasks " +
                   std::to_string(status->tasks) + ", final " +
                   (status->final ? wire::status_name(*status->final) : "none") + "\n";
        else
            out += "refused\n";
    }
    text("read", out);
}

TEST_F(GoldenRecords, CheckpointRecordKeepsItsBytes) {
    jobs::RunRecord record;
    value("empty", jobs::encode_run_record(record));
    record.done = 0x8000000000000001u;
    record.entries = {{0, 1, true, "i-000231"},
                      {63, 4'294'967'295u, false, ""},
                      {99'999, 12, true, ""},
                      {70'000, 300, false, "not written"}};
    value("full", jobs::encode_run_record(record));
    record.done = kAllTasks;
    record.entries.clear();
    value("all done", jobs::encode_run_record(record));
}

TEST_F(GoldenRecords, CheckpointRecordsAreReadAsTheyWere) {
    const Json full = {{"done", 9223372036854775809u},
                       {"at", {{0, 1, 1, "i-000231"}, {63, 4294967295u, 0}, {64, 2, 0, "x"}}}};
    const auto read = jobs::decode_run_record(received(full));
    ASSERT_TRUE(read);
    value("read and written again", jobs::encode_run_record(*read));
    auto with = [](const Json& entries) { return Json{{"done", 1}, {"at", entries}}; };
    text("verdicts", verdicts({with(Json::array()),
                               with({{1, 1, 0}}),
                               with({{1, 1, 0, "m", "later"}}),
                               with({{1, 1, 1, "m"}}),
                               with({{1, 1, 1}}),
                               with({{1, 1, 1, 5}}),
                               with({{1, 1}}),
                               with({{-1, 1, 0}}),
                               with({{1, "x", 0}}),
                               with({{1, 1, 2}}),
                               with({{1, 1, true}}),
                               with({{1, 1, "x"}}),
                               with({5}),
                               with("x"),
                               with(nullptr),
                               {{"at", Json::array()}},
                               {{"done", -1}, {"at", Json::array()}},
                               {{"done", 1.5}, {"at", Json::array()}},
                               Json::object(),
                               Json()},
                              jobs::decode_run_record));
}

TEST_F(GoldenRecords, ShardRecordKeepsItsBytes) {
    shards::Shard shard;
    value("empty", shards::encode_shard(shard));
    shard.version = 12;
    shard.holder = "ramper-1";
    shard.fencing_token = shards::grant_token(7, 3) + 1;
    shard.members = {{"i-000231", "10.1.0.232:9000", "g8", "a", true},
                     {"i-000232", "10.1.0.233:9000", "g8", "b", false}};
    shard.dirty = shard.write_uncertain = shard.being_reclaimed = true;
    value("full", shards::encode_shard(shard));
    const auto read = shards::decode_shard(received(shards::encode_shard(shard)));
    ASSERT_TRUE(read);
    value("read and written again", shards::encode_shard(*read));
    auto with = [](const Json& members) {
        return Json{{"holder", "h"}, {"token", 1}, {"machines", members}};
    };
    text("verdicts", verdicts({with(Json::array()),
                               with({{"n", "a", "t", "z", true}}),
                               with({{"n", "a", "t", "z", true, "later"}}),
                               with({{"n", "a", "t", "z"}}),
                               with({{"n", "a", "t", "z", 1}}),
                               with({{"n", "a", "t", 5, true}}),
                               with({"n"}),
                               with("n"),
                               with(nullptr),
                               {{"token", 1}, {"machines", Json::array()}},
                               {{"holder", "h"}, {"machines", Json::array()}},
                               {{"holder", "h"}, {"token", -1}, {"machines", Json::array()}},
                               Json()},
                              shards::decode_shard));
}

TEST_F(GoldenRecords, TokensKeepTheirLayout) {
    auto number = [](std::uint64_t n) { return std::to_string(n); };
    text("term", number(shards::term_token(7)));
    text("grant", number(shards::grant_token(7, 3)));
    text("term of a token", number(shards::term_of(shards::grant_token(7, 3) + 4095)));
    text("machines in a block", number(shards::kMaxShardMachines));
    text("tasks in a chunk", number(jobs::kChunkTasks));
}

TEST_F(GoldenRecords, RoleRecordKeepsItsBytes) {
    value("empty", lease::encode_role_record({}));
    value("full", lease::encode_role_record({"ramper-1", kAllTasks, 12}));
    text("verdicts", verdicts({{{"holder", "n"}, {"incarnation", 0}, {"hold", 1}},
                               {{"holder", "n"}, {"incarnation", 0}, {"hold", 0}},
                               {{"holder", ""}, {"incarnation", 0}, {"hold", 1}},
                               {{"holder", 5}, {"incarnation", 0}, {"hold", 1}},
                               {{"incarnation", 0}, {"hold", 1}},
                               {{"holder", "n"}, {"hold", 1}},
                               {{"holder", "n"}, {"incarnation", 0}},
                               {{"holder", "n"}, {"incarnation", -1}, {"hold", 1}},
                               Json::object(),
                               Json()},
                              lease::decode_role_record));
}

TEST_F(GoldenRecords, IntentsKeepTheirBytes) {
    const std::vector<autoscaling::ProvisioningIntent> intents = {
        {"t7f9-1", "g8", "a", true, 50}, {"t7f9-2", "plain", "b", false, 1}};
    for (Role role : {Role::scale_out, Role::scale_in}) {
        const std::string name = lease::name(role);
        value(name + ", none", autoscaling::encode_intents(role, {}));
        value(name + ", full", autoscaling::encode_intents(role, intents));
        const auto read =
            autoscaling::decode_intents(role, received(autoscaling::encode_intents(role, intents)));
        ASSERT_TRUE(read);
        value(name + ", read and written again", autoscaling::encode_intents(role, *read));
        auto with = [](const Json& list) { return Json{{"intents", list}}; };
        text(name + ", verdicts",
             verdicts(
                 {with(Json::array()), with({{"r", "t", "z", true, 1}}),
                  with({{"r", "t", "z", true, 1, "later"}}), with({{"r"}}), with({{""}}),
                  with({{"r", "t", "z", true}}), with({{"r", "t", "z", true, 0}}),
                  with({{"r", "t", "z", true, -1}}), with({{"r", "t", "z", true, 100'000}}),
                  with({{"r", "t", "z", true, 100'001}}), with({{"r", "t", "z", 1, 1}}),
                  with({{"r", 5, "z", true, 1}}), with({{5}}), with({Json::array()}), with("r"),
                  with(nullptr), Json::object(), Json()},
                 [&](const Json& record) { return autoscaling::decode_intents(role, record); }));
    }
}

TEST_F(GoldenRecords, OptionsKeepTheirBytes) {
    admin::Options options;
    value("defaults", admin::options_json(options));
    options.delegated_machines = 16;
    options.idle_retention_margin = 0.25;
    options.provisioning_margin = 3.5;
    options.spot_margin = 0;
    options.replica_margin = 20;
    options.use_spot = 0;
    value("all set", admin::options_json(options));
    value("read and written again",
          admin::options_json(admin::read_options(admin::options_json(options))));
    value("bad values are passed over",
          admin::options_json(admin::read_options(
              {{"lent_machines", 17}, {"keep_margin", "x"}, {"use_spot", false}, {"later", 1}})));
}

TEST_F(GoldenRecords, MachineTypesKeepTheirBytes) {
    value("full",
          wire::encode_machine_types({{"g8", 96, 8, 768, 500, 1.25, 24.5, 8.25, 90, {"a", "b"}},
                                      {"plain", 8, 0, 32, 50, 1, 1, 0.4, 10, {}}}));
    value("none", wire::encode_machine_types({}));
}

}  // namespace
