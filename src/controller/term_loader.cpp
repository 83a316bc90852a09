#include "controller/term_loader.h"

#include <spdlog/spdlog.h>

#include <iterator>
#include <utility>

#include "autoscaling/intent_log.h"

namespace nickelramp::controller {

namespace {

constexpr Millis kRetryInterval = 500;

struct ReadStep {
    const char* prefix;
    kvstore::ListReply TermRecords::*destination;
};

// Open jobs are read first because users may add and cancel jobs during the read, whereas all other
// records change only in transactions conditional on the term. The watch of the open jobs continues
// from the revision of this list.
constexpr ReadStep kReadSteps[] = {
    {"open/", &TermRecords::open_jobs},
    {"run/", &TermRecords::run_records},
    {"block/", &TermRecords::shards},
    {autoscaling::kIntentKeyPrefix, &TermRecords::provisioning_intents},
};

void load_shards(const TermRecords& records, control::ControlLoop& control_loop) {
    for (const kvstore::Entry& entry : records.shards.entries) {
        auto shard = shards::decode_shard(entry.value);
        const auto number = shards::parse_shard_key(entry.key);
        if (!shard || !number) continue;
        shard->version = entry.version;
        control_loop.load_shard(*number, std::move(*shard));
    }
}

void load_open_jobs(const TermRecords& records, const LoopClock& clock,
                    control::ControlLoop& control_loop) {
    for (const kvstore::Entry& entry : records.open_jobs.entries) {
        const auto record = jobs::decode_open_record(entry.value);
        if (record) {
            control_loop.load_job(*record, entry.version, LoopClock::wall_ms(), clock.now());
        } else {
            spdlog::error("record cannot be decoded: key={}", entry.key);
        }
    }
}

void load_run_records(const TermRecords& records, const LoopClock& clock,
                      control::ControlLoop& control_loop) {
    for (const kvstore::Entry& entry : records.run_records.entries) {
        const auto run_key = jobs::parse_run_key(entry.key);
        const auto record = jobs::decode_run_record(entry.value);
        if (record && run_key) {
            control_loop.load_checkpoint(run_key->job_id, run_key->chunk, *record, entry.version,
                                         clock.now());
        } else {
            spdlog::error("record cannot be decoded: key={}", entry.key);
        }
    }
}

}  // namespace

TermLoader::TermLoader(const LoopClock& clock, kvstore::Client& store_client,
                       const MachineTypeStore& machine_types, Listener& listener)
    : clock_(clock),
      store_client_(store_client),
      machine_types_(machine_types),
      listener_(listener),
      retry_timer_(clock.loop(), [this] { read_all(); }) {}

void TermLoader::start() {
    ++generation_;
    loading_ = true;
    read_all();
}

void TermLoader::stop() {
    ++generation_;
    loading_ = false;
}

void TermLoader::read_all() {
    if (!loading_) return;
    if (machine_types_.types().empty()) {
        retry_timer_.after(kRetryInterval);
        return;
    }
    auto records = std::make_shared<TermRecords>();
    records->requested_at = clock_.now();
    read_from(0, records);
}

void TermLoader::read_from(std::size_t step, const std::shared_ptr<TermRecords>& records) {
    if (step == std::size(kReadSteps)) {
        loading_ = false;
        listener_.on_term_records(*records);
        return;
    }
    store_client_.list(kReadSteps[step].prefix, kvstore::RequestClass::election,
                       [this, step, records, generation = generation_](kvstore::ListReply reply) {
                           if (generation != generation_ || !loading_) return;
                           if (reply.status != kvstore::Status::ok) {
                               retry_timer_.after(kRetryInterval);
                               return;
                           }
                           (*records).*kReadSteps[step].destination = std::move(reply);
                           read_from(step + 1, records);
                       });
}

void load_term_records(const TermRecords& records, const LoopClock& clock,
                       control::ControlLoop& control_loop) {
    load_shards(records, control_loop);
    for (const kvstore::Entry& entry : records.provisioning_intents.entries)
        control_loop.load_intents(entry.key, entry.value, entry.version);
    load_open_jobs(records, clock, control_loop);
    load_run_records(records, clock, control_loop);
}

}  // namespace nickelramp::controller
