// Records in the state service: their keys, their bytes, and what is read of earlier ones.
#include <limits>

#include "admin/desk.h"
#include "admin/options.h"
#include "blocks/ledger.h"
#include "duties/duty.h"
#include "duties/intents.h"
#include "duties/sweep.h"
#include "jobs/answers.h"
#include "jobs/job.h"
#include "leadership/term.h"
#include "tests/golden.h"
#include "tests/golden_samples.h"

namespace {

using namespace nickelramp;
using duties::Duty;
using test::golden::full_job;
using test::golden::minimal_job;
using test::golden::received;
using wire::Json;

using GoldenRecords = test::golden::Recorded;

constexpr std::uint64_t kAllTasks = std::numeric_limits<std::uint64_t>::max();

// "read" or "refused" for each value, one a line.
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
    text("block", blocks::block_key(0) + "\n" + blocks::block_key(4294967295u));
    text("seat", leadership::kSeatKey);
    text("term", leadership::kTermKey);
    text("options", admin::kOptionsKey);
    text("sweep cursor", duties::kCursorKey);
    std::string duty_keys;
    for (Duty duty : duties::kAll) duty_keys += duties::duty_key(duty) + "\n";
    text("duties", duty_keys);
    text("duties prefix", duties::kDutyPrefix);
    text("intents prefix", duties::kIntentPrefix);
    text("intents", duties::intent_key(Duty::renting, 7) + "\n" +
                        duties::intent_key(Duty::returning, 18446744073709551615u));
}

TEST_F(GoldenRecords, KeysAreReadAsTheyWere) {
    std::string open, run, block, intent, duty;
    for (const char* key : {"open/job-1", "open/job-000412", "open/", "open/job-", "open/job-x",
                            "open/other-1", "open/job-1/2", "job/job-1", "Open/job-1", ""})
        open += std::string(key) + " -> '" + jobs::id_of_open_key(key) + "'\n";
    for (const char* key :
         {"run/job-1/0", "run/job-000412/1562", "run/job-1/", "run/job-1/x", "run/job-1/0x",
          "run/job-1", "run//0", "run/job-1/-1", "run/job-1/4294967296", "open/job-1/0"}) {
        std::string id;
        std::uint32_t chunk = 0;
        const bool good = jobs::parse_run_key(key, id, chunk);
        run +=
            std::string(key) + " -> " + (good ? id + " " + std::to_string(chunk) : "none") + "\n";
    }
    for (const char* key : {"block/0", "block/4294967295", "block/4294967296", "block/", "block/x",
                            "block/1x", "blocks/1"}) {
        std::uint32_t number = 0;
        const bool good = blocks::parse_block_key(key, number);
        block += std::string(key) + " -> " + (good ? std::to_string(number) : "none") + "\n";
    }
    for (const char* key : {"intent/renting/7", "intent/returning/18446744073709551615",
                            "intent/renting/", "intent/renting/x", "intent/reclaiming/7",
                            "intent/cleaning/7", "intent/7", "duty/renting"}) {
        const auto read = duties::parse_intent_key(key);
        intent +=
            std::string(key) + " -> " +
            (read ? std::string(duties::name(read->first)) + " " + std::to_string(read->second)
                  : "none") +
            "\n";
    }
    for (const char* key : {"duty/renting", "duty/returning", "duty/reclaiming", "duty/cleaning",
                            "duty/", "duty/else", "renting"}) {
        const auto read = duties::duty_of_key(key);
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
    value("full", jobs::open_record(full_job(), 1'700'000'000'123, false));
    value("cancelled", jobs::open_record(full_job(), 1'700'000'000'123, true));
    value("minimal", jobs::open_record(minimal_job(), 0, false));
    value("fields of later versions", jobs::open_record({{"later", {1, 2.5, "x"}}}, -1, false));
}

TEST_F(GoldenRecords, OpenJobsAreReadAsTheyWere) {
    auto show = [](const Json& record) {
        const auto read = jobs::read_open(record);
        if (!read) return std::string("refused");
        return test::golden::shown_job(read->spec) + "accepted at " +
               std::to_string(read->accepted_wall_ms) + "\ncancelled " +
               std::to_string(read->cancelled) + "\nunwanted " + std::to_string(read->unwanted);
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
                              jobs::read_open));
}

TEST_F(GoldenRecords, JobRecordsAreReadAsTheyWere) {
    std::string out;
    for (const Json& record :
         {Json{{"final", nullptr}, {"tasks", 3}}, Json{{"final", "done"}, {"tasks", 100'000}},
          Json{{"final", "withdrawn"}, {"tasks", 1}}, Json{{"final", "cancelled"}, {"tasks", 1}},
          Json{{"final", "pending"}}, Json{{"final", 5}, {"tasks", "x"}}, Json::object(), Json(),
          Json::array(), Json("done")}) {
        const auto told = jobs::read_told(record, 77);
        out += record.dump() + ": ";
        if (told)
            out += "version " + std::to_string(told->version) + ", tasks " +
                   std::to_string(told->tasks) + ", final " +
                   (told->final ? wire::final_name(*told->final) : "none") + "\n";
        else
            out += "refused\n";
    }
    text("read", out);
}

TEST_F(GoldenRecords, RunRecordKeepsItsBytes) {
    jobs::RunRecord record;
    value("empty", jobs::run_record(record));
    record.done = 0x8000000000000001u;
    record.entries = {{0, 1, true, "i-000231"},
                      {63, 4'294'967'295u, false, ""},
                      {99'999, 12, true, ""},
                      {70'000, 300, false, "not written"}};
    value("full", jobs::run_record(record));
    record.done = kAllTasks;
    record.entries.clear();
    value("all done", jobs::run_record(record));
}

TEST_F(GoldenRecords, RunRecordsAreReadAsTheyWere) {
    const Json full = {{"done", 9223372036854775809u},
                       {"at", {{0, 1, 1, "i-000231"}, {63, 4294967295u, 0}, {64, 2, 0, "x"}}}};
    const auto read = jobs::read_run(received(full));
    ASSERT_TRUE(read);
    value("read and written again", jobs::run_record(*read));
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
                              jobs::read_run));
}

TEST_F(GoldenRecords, BlockKeepsItsBytes) {
    blocks::Block block;
    value("empty", blocks::block_record(block));
    block.version = 12;
    block.holder = "ramper-1";
    block.token = blocks::grant_token(7, 3) + 1;
    block.members = {{"i-000231", "10.1.0.232:9000", "g8", "a", true},
                     {"i-000232", "10.1.0.233:9000", "g8", "b", false}};
    block.dirty = block.uncertain = block.taken_back = true;
    value("full", blocks::block_record(block));
    const auto read = blocks::read_block(received(blocks::block_record(block)));
    ASSERT_TRUE(read);
    value("read and written again", blocks::block_record(*read));
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
                              blocks::read_block));
}

TEST_F(GoldenRecords, TokensKeepTheirLayout) {
    auto number = [](std::uint64_t n) { return std::to_string(n); };
    text("term", number(blocks::term_token(7)));
    text("grant", number(blocks::grant_token(7, 3)));
    text("term of a token", number(blocks::term_of(blocks::grant_token(7, 3) + 4095)));
    text("machines in a block", number(blocks::kBlockMachines));
    text("tasks in a chunk", number(jobs::kChunkTasks));
}

TEST_F(GoldenRecords, PostOfADutyKeepsItsBytes) {
    value("empty", duties::post_record({}));
    value("full", duties::post_record({"ramper-1", kAllTasks, 12}));
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
                              duties::read_post));
}

TEST_F(GoldenRecords, IntentsKeepTheirBytes) {
    const std::vector<duties::Intent> intents = {{"t7f9-1", "g8", "a", true, 50},
                                                 {"t7f9-2", "plain", "b", false, 1}};
    for (Duty duty : {Duty::renting, Duty::returning}) {
        const std::string name = duties::name(duty);
        value(name + ", none", duties::intents_record(duty, {}));
        value(name + ", full", duties::intents_record(duty, intents));
        const auto read =
            duties::read_intents(duty, received(duties::intents_record(duty, intents)));
        ASSERT_TRUE(read);
        value(name + ", read and written again", duties::intents_record(duty, *read));
        auto with = [](const Json& list) { return Json{{"intents", list}}; };
        text(name + ", verdicts",
             verdicts({with(Json::array()), with({{"r", "t", "z", true, 1}}),
                       with({{"r", "t", "z", true, 1, "later"}}), with({{"r"}}), with({{""}}),
                       with({{"r", "t", "z", true}}), with({{"r", "t", "z", true, 0}}),
                       with({{"r", "t", "z", true, -1}}), with({{"r", "t", "z", true, 100'000}}),
                       with({{"r", "t", "z", true, 100'001}}), with({{"r", "t", "z", 1, 1}}),
                       with({{"r", 5, "z", true, 1}}), with({{5}}), with({Json::array()}),
                       with("r"), with(nullptr), Json::object(), Json()},
                      [&](const Json& record) { return duties::read_intents(duty, record); }));
    }
}

TEST_F(GoldenRecords, OptionsKeepTheirBytes) {
    admin::Options options;
    value("defaults", admin::options_json(options));
    options.lent_machines = 16;
    options.keep_margin = 0.25;
    options.hire_margin = 3.5;
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
    value("full", wire::types_json({{"g8", 96, 8, 768, 500, 1.25, 24.5, 8.25, 90, {"a", "b"}},
                                    {"plain", 8, 0, 32, 50, 1, 1, 0.4, 10, {}}}));
    value("none", wire::types_json({}));
}

}  // namespace
