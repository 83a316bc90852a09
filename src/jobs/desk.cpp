#include "jobs/desk.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "jobs/need.h"

namespace nickelramp::jobs {

using net::Response;
using wire::JobStatus;
using wire::Json;

namespace {
constexpr Millis kChangeWait = 3500;  // submissions and cancels: users wait 5 s
constexpr Millis kQueryWait = 1500;   // users wait 2 s
constexpr std::size_t kMostOpen = 1000;
constexpr Millis kEndWait = 800;         // for what usually takes a twentieth of it
constexpr std::size_t kMostAwaited = 2;  // at once; the others ask again

Response busy() { return {503, wire::encode({{"error", "try again"}}), 1, "application/cbor"}; }
Response failure(int status, const std::string& what) {
    return {status, wire::encode({{"error", what}}), 0, "application/cbor"};
}
Response not_known() { return failure(404, "no such job"); }
Response ok(int status, const Json& body) {
    return {status, wire::encode(body), 0, "application/cbor"};
}
}  // namespace

std::string impossible(const wire::JobSpec& spec, const wire::Settings& settings,
                       const std::vector<wire::MachineType>& types) {
    auto team = std::find_if(settings.teams.begin(), settings.teams.end(),
                             [&](const wire::Team& t) { return t.name == spec.team; });
    if (team == settings.teams.end()) return "unknown team";
    bool fits = false;
    std::set<std::string> zones;
    for (const wire::MachineType& t : types) {
        if (!spec.any_type &&
            std::find(spec.types.begin(), spec.types.end(), t.name) == spec.types.end()) {
            continue;
        }
        if (spec.zone && std::find(t.zones.begin(), t.zones.end(), *spec.zone) == t.zones.end())
            continue;
        if (!covers(t.cpus, t.gpus, t.memory_gb, {spec.cpus, spec.gpus, spec.memory_gb})) continue;
        fits = true;
        zones.insert(t.zones.begin(), t.zones.end());
    }
    if (!fits) return "a task fits no allowed machine type";
    // Of an array or a service half can run, one after the other or for good; of a gang nothing
    // can.
    const bool in_one_zone = spec.one_zone || spec.zone || zones.size() < 2;
    if (spec.shape == wire::Shape::gang && spec.spread && spec.tasks > 1 && in_one_zone)
        return "scattered over zones, of which it is allowed one";
    double tasks = spec.shape == wire::Shape::array ? 1.0 : spec.tasks;
    if ((team->cpus_max > 0 && spec.cpus * tasks > team->cpus_max + kSlack) ||
        (team->gpus_max > 0 && spec.gpus * tasks > team->gpus_max + kSlack)) {
        return "needs more than the team's limit";
    }
    return "";
}

Desk::Desk(const wire::Settings& settings, Records& records, Answers& answers, Hooks hooks)
    : settings_(settings), records_(records), answers_(answers), hooks_(std::move(hooks)) {}

bool Desk::handle(const net::Request& request, Respond respond) {
    const std::string& path = request.path;
    if (path == "/work") {
        if (request.method != "POST")
            respond(failure(405, "use POST"));
        else if (open_ >= kMostOpen)
            respond(busy());
        else
            submit(request, std::move(respond));
        return true;
    }
    if (path.rfind("/work/", 0) != 0) return false;
    std::string id = path.substr(6);
    bool abort = id.size() > 6 && id.compare(id.size() - 6, 6, "/abort") == 0;
    if (abort) id.resize(id.size() - 6);
    if (!wire::valid_job_id(id))
        respond(failure(id.find('/') == std::string::npos ? 400 : 404, "id"));
    else if (open_ >= kMostOpen)
        respond(busy());
    else if (abort && request.method == "POST")
        cancel(asked(id, kChangeWait, std::move(respond)));
    else if (!abort && request.method == "GET")
        query(asked(id, kQueryWait, std::move(respond)), not_known());
    else
        respond(failure(405, abort ? "use POST" : "use GET"));
    return true;
}

Desk::Asked Desk::asked(const std::string& id, Millis wait, Respond respond) const {
    const Millis now = hooks_.now();
    return {id, now, now + wait, std::move(respond)};
}

void Desk::begin() {
    if (open_++ == 0) idle_until_ = hooks_.now();
}

void Desk::end() { --open_; }

void Desk::answer(const char* request, const Asked& a, const Response& response) {
    hooks_.answered(request, response.status, hooks_.now() - a.since);
    a.respond(response);
}

// Answers from the job's own record.
void Desk::answer_known(const Told& told, const Asked& a) {
    if (told.final) {
        const std::uint64_t done = *told.final == JobStatus::done ? told.tasks : 0;
        a.respond(ok(200, wire::job_answer(a.id, *told.final, done, 0)));
    } else {
        std::uint64_t done = 0, running = 0;
        hooks_.progress(a.id, done, running);
        a.respond(
            ok(200, wire::job_answer(a.id, running > 0 ? JobStatus::running : JobStatus::pending,
                                     done, running)));
    }
}

void Desk::submit(const net::Request& request, Respond respond) {
    auto body = wire::decode_map(request.body);
    if (!body || !wire::plain(*body)) {
        respond(failure(400, "the body is no CBOR map of plain values"));
        return;
    }
    std::string error;
    auto spec = wire::parse_job(*body, error);
    if (!spec) {
        respond(failure(400, "missing or invalid: " + error));
        return;
    }
    Json open = open_record(*body, hooks_.wall_ms(), false);
    const auto size = wire::json_size(open);
    if (!size || static_cast<double>(*size) > settings_.state_value_kb * 1024) {
        respond(failure(400, size ? "the description is too long" : "text is to be UTF-8"));
        return;
    }
    if (types_.empty()) {
        respond(busy());  // what can run is not known yet
        return;
    }
    Asked a = asked(spec->id, kChangeWait, std::move(respond));
    std::string never = impossible(*spec, settings_, types_);
    if (!never.empty()) {
        // A job that was accepted before must not be turned away now.
        return query(std::move(a), failure(422, never));
    }
    // A repeated one costs no change.
    if (answers_.knows(a.id)) return query(std::move(a), not_known());
    state::Txn txn;
    txn.conditions = {{job_key(a.id), 0}};
    txn.writes = {{job_key(a.id), Json{{"final", nullptr}, {"tasks", spec->tasks}}},
                  {open_key(a.id), std::move(open)}};
    accept(txn, std::move(a));
}

void Desk::accept(const state::Txn& txn, Asked a) {
    begin();
    records_.commit(txn, left(a), [this, a](Millis, const state::CommitReply& r) {
        end();
        spdlog::debug("submission of {}: {}", a.id, state::name(r.outcome));
        if (r.outcome == state::Outcome::ok)
            answer("submit", a, ok(201, wire::job_answer(a.id, JobStatus::pending)));
        else if (r.outcome == state::Outcome::conflict)
            query(a, not_known());  // it is known already
        else
            answer("submit", a, busy());
    });
}

void Desk::query(Asked a, Response missing) {
    begin();
    const Millis wait = left(a);
    answers_.ask(
        a.id, wait,
        [this, a, missing = std::move(missing)](Answers::Found found, const Told& told) {
            end();
            if (found == Answers::Found::told)
                answer_known(told, a);
            else if (found == Answers::Found::missing)
                a.respond(missing);
            else
                a.respond(busy());
        },
        hooks_.now());
}

// The wish goes into the open record; the leader stops the tasks and makes the job final when none
// is left. Until then the answer is to ask again: what was told can then not be undone by anybody
// who had not heard of it.
void Desk::cancel(Asked a) {
    begin();
    const Millis wait = left(a);
    answers_.ask(
        a.id, wait,
        [this, a](Answers::Found found, const Told& told) {
            end();
            if (found == Answers::Found::missing)
                a.respond(not_known());
            else if (found == Answers::Found::told && told.final)
                answer_known(told, a);
            else if (found == Answers::Found::unknown || left(a) <= 0)
                a.respond(busy());
            else
                read_open_for_cancel(a);
        },
        hooks_.now());
}

void Desk::read_open_for_cancel(Asked a) {
    begin();
    records_.get(open_key(a.id), left(a), [this, a](Millis, const state::GetReply& open) {
        end();
        if (open.outcome == state::Outcome::missing)
            cancel(a);  // it has just become final
        else if (open.outcome != state::Outcome::ok || left(a) <= 0)
            a.respond(busy());
        else
            wish(open.item, a);
    });
}

void Desk::wish(const state::Item& open, Asked a) {
    if (wire::flag(open.value, "unwanted").value_or(false)) {
        a.respond(busy());
        return;
    }
    state::Txn txn;
    txn.conditions = {{open_key(a.id), open.version}};
    txn.writes = {{open_key(a.id), open.value}};
    (*txn.writes[0].value)["unwanted"] = true;
    begin();
    records_.commit(txn, left(a), [this, a](Millis, const state::CommitReply& r) {
        end();
        if (r.outcome == state::Outcome::conflict)
            cancel(a);
        else if (r.outcome != state::Outcome::ok || awaited_ >= kMostAwaited || left(a) <= 0)
            a.respond(busy());
        else
            await_end(r.revision, a);
    });
}

// Mostly it takes some messages only.
void Desk::await_end(std::uint64_t revision, Asked a) {
    ++awaited_;
    records_.watch(job_key(a.id), revision, std::min(kEndWait, left(a)),
                   [this, a](Millis, const state::ListReply& r) {
                       --awaited_;
                       for (const state::Item& i : r.items) {
                           if (i.deleted || i.key != job_key(a.id)) continue;
                           const auto told = read_told(i.value, i.version);
                           if (told && told->final) return answer_known(*told, a);
                       }
                       a.respond(busy());
                   });
}

}  // namespace nickelramp::jobs
