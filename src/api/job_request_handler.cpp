#include "api/job_request_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "jobs/resource_need.h"

namespace nickelramp::api {

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

std::string unschedulable_reason(const wire::JobSpec& spec, const wire::Settings& settings,
                                 const std::vector<wire::MachineType>& types) {
    auto team = std::find_if(settings.teams.begin(), settings.teams.end(),
                             [&](const wire::Team& t) { return t.name == spec.team; });
    if (team == settings.teams.end()) return "unknown team";
    bool fits = false;
    std::set<std::string> zones;
    for (const wire::MachineType& machine_type : types) {
        if (!spec.any_type && std::find(spec.types.begin(), spec.types.end(), machine_type.name) ==
                                  spec.types.end()) {
            continue;
        }
        if (spec.zone && std::find(machine_type.zones.begin(), machine_type.zones.end(),
                                   *spec.zone) == machine_type.zones.end())
            continue;
        if (!jobs::fits_within(machine_type.cpus, machine_type.gpus, machine_type.memory_gb,
                               {spec.cpus, spec.gpus, spec.memory_gb}))
            continue;
        fits = true;
        zones.insert(machine_type.zones.begin(), machine_type.zones.end());
    }
    if (!fits) return "a task fits no allowed machine type";
    // Of an array or a service half can run, one after the other or for good; of a gang nothing
    // can.
    const bool in_one_zone = spec.one_zone || spec.zone || zones.size() < 2;
    if (spec.shape == wire::Shape::gang && spec.spread && spec.tasks > 1 && in_one_zone)
        return "scattered over zones, of which it is allowed one";
    double tasks = spec.shape == wire::Shape::array ? 1.0 : spec.tasks;
    if ((team->cpus_max > 0 && spec.cpus * tasks > team->cpus_max + jobs::kFitTolerance) ||
        (team->gpus_max > 0 && spec.gpus * tasks > team->gpus_max + jobs::kFitTolerance)) {
        return "needs more than the team's limit";
    }
    return "";
}

JobRequestHandler::JobRequestHandler(const wire::Settings& settings, JobStore& records,
                                     ConfirmedReads& answers, Hooks hooks)
    : settings_(settings), store_(records), reads_(answers), hooks_(std::move(hooks)) {}

bool JobRequestHandler::handle(const net::Request& request, Respond respond) {
    const std::string& path = request.path;
    if (path == "/work") {
        if (request.method != "POST")
            respond(failure(405, "use POST"));
        else if (pending_count_ >= kMostOpen)
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
    else if (pending_count_ >= kMostOpen)
        respond(busy());
    else if (abort && request.method == "POST")
        cancel(make_request(id, kChangeWait, std::move(respond)));
    else if (!abort && request.method == "GET")
        answer_with_status(make_request(id, kQueryWait, std::move(respond)), not_known());
    else
        respond(failure(405, abort ? "use POST" : "use GET"));
    return true;
}

JobRequestHandler::PendingRequest JobRequestHandler::make_request(const std::string& id,
                                                                  Millis wait,
                                                                  Respond respond) const {
    const Millis now = hooks_.now();
    return {id, now, now + wait, std::move(respond)};
}

void JobRequestHandler::request_started() {
    if (pending_count_++ == 0) idle_since_ = hooks_.now();
}

void JobRequestHandler::request_finished() { --pending_count_; }

void JobRequestHandler::respond(const char* request, const PendingRequest& a,
                                const Response& response) {
    hooks_.on_answered(request, response.status, hooks_.now() - a.received_at);
    a.respond(response);
}

// Answers from the job's own record.
void JobRequestHandler::respond_with_recorded_status(const RecordedStatus& status,
                                                     const PendingRequest& request) {
    if (status.final) {
        const std::uint64_t done = *status.final == JobStatus::done ? status.tasks : 0;
        request.respond(ok(200, wire::encode_job_answer(request.job_id, *status.final, done, 0)));
    } else {
        std::uint64_t done = 0, running = 0;
        hooks_.progress(request.job_id, done, running);
        request.respond(
            ok(200, wire::encode_job_answer(request.job_id,
                                            running > 0 ? JobStatus::running : JobStatus::pending,
                                            done, running)));
    }
}

void JobRequestHandler::submit(const net::Request& request, Respond respond) {
    auto body = wire::decode_map(request.body);
    if (!body || !wire::is_plain_json(*body)) {
        respond(failure(400, "the body is no CBOR map of plain values"));
        return;
    }
    std::string error;
    auto spec = wire::parse_job(*body, error);
    if (!spec) {
        respond(failure(400, "missing or invalid: " + error));
        return;
    }
    Json open = jobs::encode_open_record(*body, hooks_.wall_ms(), false);
    const auto size = wire::json_size(open);
    if (!size || static_cast<double>(*size) > settings_.state_value_kb * 1024) {
        respond(failure(400, size ? "the description is too long" : "text is to be UTF-8"));
        return;
    }
    if (machine_types_.empty()) {
        respond(busy());  // what can run is not known yet
        return;
    }
    PendingRequest a = make_request(spec->id, kChangeWait, std::move(respond));
    std::string never = unschedulable_reason(*spec, settings_, machine_types_);
    if (!never.empty()) {
        // A job that was accepted before must not be turned away now.
        return answer_with_status(std::move(a), failure(422, never));
    }
    // A repeated one costs no change.
    if (reads_.has_record(a.job_id)) return answer_with_status(std::move(a), not_known());
    kvstore::Transaction transaction;
    transaction.conditions = {{jobs::job_key(a.job_id), 0}};
    transaction.writes = {
        {jobs::job_key(a.job_id), Json{{"final", nullptr}, {"tasks", spec->tasks}}},
        {jobs::open_key(a.job_id), std::move(open)}};
    write_new_job(transaction, std::move(a));
}

void JobRequestHandler::write_new_job(const kvstore::Transaction& transaction,
                                      PendingRequest request) {
    request_started();
    store_.commit(
        transaction, time_left(request),
        [this, request](Millis, const kvstore::CommitReply& reply) {
            request_finished();
            spdlog::debug("submission of {}: {}", request.job_id, kvstore::name(reply.status));
            if (reply.status == kvstore::Status::ok)
                respond("submit", request,
                        ok(201, wire::encode_job_answer(request.job_id, JobStatus::pending)));
            else if (reply.status == kvstore::Status::conflict)
                answer_with_status(request, not_known());  // it is known already
            else
                respond("submit", request, busy());
        });
}

void JobRequestHandler::answer_with_status(PendingRequest request, Response missing) {
    request_started();
    const Millis wait = time_left(request);
    reads_.read(
        request.job_id, wait,
        [this, request, missing = std::move(missing)](ConfirmedReads::Lookup found,
                                                      const RecordedStatus& status) {
            request_finished();
            if (found == ConfirmedReads::Lookup::found)
                respond_with_recorded_status(status, request);
            else if (found == ConfirmedReads::Lookup::missing)
                request.respond(missing);
            else
                request.respond(busy());
        },
        hooks_.now());
}

// The wish goes into the open record; the leader stops the tasks and makes the job final when none
// is left. Until then the answer is to ask again: what was told can then not be undone by anybody
// who had not heard of it.
void JobRequestHandler::cancel(PendingRequest request) {
    request_started();
    const Millis wait = time_left(request);
    reads_.read(
        request.job_id, wait,
        [this, request](ConfirmedReads::Lookup found, const RecordedStatus& status) {
            request_finished();
            if (found == ConfirmedReads::Lookup::missing)
                request.respond(not_known());
            else if (found == ConfirmedReads::Lookup::found && status.final)
                respond_with_recorded_status(status, request);
            else if (found == ConfirmedReads::Lookup::unknown || time_left(request) <= 0)
                request.respond(busy());
            else
                read_open_for_cancel(request);
        },
        hooks_.now());
}

void JobRequestHandler::read_open_for_cancel(PendingRequest request) {
    request_started();
    store_.get(jobs::open_key(request.job_id), time_left(request),
               [this, request](Millis, const kvstore::GetReply& open) {
                   request_finished();
                   if (open.status == kvstore::Status::missing)
                       cancel(request);  // it has just become final
                   else if (open.status != kvstore::Status::ok || time_left(request) <= 0)
                       request.respond(busy());
                   else
                       request_cancel(open.entry, request);
               });
}

void JobRequestHandler::request_cancel(const kvstore::Entry& open, PendingRequest request) {
    if (wire::flag_field(open.value, "unwanted").value_or(false)) {
        request.respond(busy());
        return;
    }
    kvstore::Transaction transaction;
    transaction.conditions = {{jobs::open_key(request.job_id), open.version}};
    transaction.writes = {{jobs::open_key(request.job_id), open.value}};
    (*transaction.writes[0].value)["unwanted"] = true;
    request_started();
    store_.commit(transaction, time_left(request),
                  [this, request](Millis, const kvstore::CommitReply& reply) {
                      request_finished();
                      if (reply.status == kvstore::Status::conflict)
                          cancel(request);
                      else if (reply.status != kvstore::Status::ok ||
                               pending_cancellations_ >= kMostAwaited || time_left(request) <= 0)
                          request.respond(busy());
                      else
                          await_job_end(reply.revision, request);
                  });
}

// Mostly it takes some messages only.
void JobRequestHandler::await_job_end(std::uint64_t revision, PendingRequest request) {
    ++pending_cancellations_;
    store_.watch(jobs::job_key(request.job_id), revision, std::min(kEndWait, time_left(request)),
                 [this, request](Millis, const kvstore::ListReply& reply) {
                     --pending_cancellations_;
                     for (const kvstore::Entry& entry : reply.entries) {
                         if (entry.deleted || entry.key != jobs::job_key(request.job_id)) continue;
                         const auto status = decode_recorded_status(entry.value, entry.version);
                         if (status && status->final)
                             return respond_with_recorded_status(*status, request);
                     }
                     request.respond(busy());
                 });
}

}  // namespace nickelramp::api
