#include "jobs/job.h"

#include <bit>
#include <charconv>

namespace nickelramp::jobs {

std::string job_key(const std::string& id) { return "job/" + id; }
std::string open_key(const std::string& id) { return "open/" + id; }
std::string run_key(const std::string& id, std::uint32_t chunk) {
    return "run/" + id + "/" + std::to_string(chunk);
}

std::string id_of_open_key(const std::string& key) {
    if (key.rfind("open/", 0) != 0) return "";
    std::string id = key.substr(5);
    return wire::valid_job_id(id) ? id : "";
}

bool parse_run_key(const std::string& key, std::string& id, std::uint32_t& chunk) {
    if (key.rfind("run/", 0) != 0) return false;
    auto slash = key.rfind('/');
    if (slash <= 4) return false;
    id = key.substr(4, slash - 4);
    const char* end = key.data() + key.size();
    auto [ptr, ec] = std::from_chars(key.data() + slash + 1, end, chunk);
    return ec == std::errc() && ptr == end && wire::valid_job_id(id);
}

const char* name(JobState s) {
    switch (s) {
        case JobState::open:
            return "open";
        case JobState::cancelled:
            return "cancelled";
        case JobState::finishing:
            return "finishing";
        case JobState::finished:
            return "finished";
    }
    return "?";
}

const char* name(AttemptState s) {
    switch (s) {
        case AttemptState::recording:
            return "recording";
        case AttemptState::recorded:
            return "recorded";
        case AttemptState::starting:
            return "starting";
        case AttemptState::fetching:
            return "fetching";
        case AttemptState::waiting:
            return "waiting";
        case AttemptState::running:
            return "running";
        case AttemptState::saving:
            return "saving";
        case AttemptState::exited:
            return "exited";
    }
    return "?";
}

bool Job::is_done(std::uint32_t task) const {
    auto it = chunks.find(task / kChunkTasks);
    return it != chunks.end() && (it->second.done >> (task % kChunkTasks) & 1) != 0;
}

void Job::mark_done(std::uint32_t task) {
    if (is_done(task)) return;
    Chunk& c = chunks[task / kChunkTasks];
    c.done |= std::uint64_t{1} << (task % kChunkTasks);
    c.dirty = true;
    ++done;
}

wire::Json open_record(const wire::Json& spec, std::int64_t accepted_wall_ms, bool cancelled) {
    return {{"spec", spec}, {"at", accepted_wall_ms}, {"cancelled", cancelled}};
}

std::optional<OpenRecord> read_open(const wire::Json& value) {
    const wire::Json* spec = wire::field(value, "spec");
    if (spec == nullptr) return std::nullopt;
    std::string error;
    auto parsed = wire::parse_job(*spec, error);
    if (!parsed) return std::nullopt;
    OpenRecord out;
    out.spec = std::move(*parsed);
    out.accepted_wall_ms = static_cast<std::int64_t>(wire::count(value, "at").value_or(0));
    out.cancelled = wire::flag(value, "cancelled").value_or(false);
    out.unwanted = wire::flag(value, "unwanted").value_or(false);
    return out;
}

wire::Json run_record(const RunRecord& r) {
    wire::Json entries = wire::Json::array();
    for (const RunEntry& e : r.entries) {
        wire::Json item = wire::Json::array({e.task, e.attempt, e.started ? 1 : 0});
        if (e.started) item.push_back(e.machine);
        entries.push_back(std::move(item));
    }
    return {{"done", r.done}, {"at", std::move(entries)}};
}

std::optional<RunRecord> read_run(const wire::Json& value) {
    RunRecord out;
    auto done = wire::count(value, "done");
    const wire::Json* entries = wire::field(value, "at");
    if (!done || entries == nullptr || !entries->is_array()) return std::nullopt;
    out.done = *done;
    for (const wire::Json& item : *entries) {
        if (!item.is_array() || item.size() < 3) return std::nullopt;
        if (!item[0].is_number_unsigned() || !item[1].is_number_unsigned()) return std::nullopt;
        RunEntry e;
        e.task = item[0].get<std::uint32_t>();
        e.attempt = item[1].get<std::uint32_t>();
        e.started = item[2] == 1;
        if (e.started) {
            if (item.size() < 4 || !item[3].is_string()) return std::nullopt;
            e.machine = item[3].get<std::string>();
        }
        out.entries.push_back(std::move(e));
    }
    return out;
}

}  // namespace nickelramp::jobs
