// The state service's client: typed calls, one budget with submissions and cancels first.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/timer.h"
#include "wire/cbor.h"

namespace nickelramp::kvstore {

using wire::Json;

enum class Status {
    ok,
    conflict,                   // 409: a condition failed
    missing,                    // 404
    lease_or_revision_expired,  // 410 for watches, 400 "no such lease" for puts
    refused,                    // certainly not executed: 503, 429, never sent
    unknown,                    // may have been, or may yet be, executed
    protocol_error,             // an answer that breaks the protocol
};

const char* name(Status o);

struct Entry {
    std::string key;
    Json value;
    std::uint64_t version = 0;
    bool deleted = false;
};

struct GetReply {
    Status status = Status::unknown;
    Entry entry;
};
// The key's stamp, 0 when there is none; nothing when the reply does not tell.
std::optional<std::uint64_t> version_of(const GetReply& reply);
struct ListReply {
    Status status = Status::unknown;
    std::vector<Entry> entries;
    std::uint64_t revision = 0;
    bool more = false;  // of one page: keys follow
};
struct CommitReply {
    Status status = Status::unknown;
    std::uint64_t revision = 0;
    std::vector<std::string> failed_conditions;
};
struct LeaseReply {
    Status status = Status::unknown;
    std::uint64_t lease_id = 0;
};

// What goes first when the budget is short. `first` is for the little that much waits for: what is
// written once a second at the most, and what a term begins with. Users' requests once kept
// everybody from being elected for as long as they came in numbers.
enum class RequestClass { election, user, control, background_urgent, background };

struct Condition {
    std::string key;
    std::uint64_t version = 0;
};
struct Write {
    std::string key;
    std::optional<Json> value;   // none: delete
    std::uint64_t lease_id = 0;  // 0: none
};
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    RequestClass request_class = RequestClass::background;
};

struct RateLimits {
    double requests_per_s = 0;
    double writes_per_s = 0;
};

// How the state service treats this client. 503s are refusals; anything else that it says, even
// that there is too much, is an answer.
struct ServiceHealth {
    Millis refused_since = -1;     // when 503s began that no answer has followed; -1: none
    Millis unanswered_since = -1;  // the first that was asked since anything was said; -1: none
};

class Client {
  public:
    Client(uv_loop_t* loop, const sockaddr_in& address, const std::string& host, RateLimits limits);

    // Of the one budget that all controllers share.
    void set_limits(RateLimits limits) { limits_ = limits; }

    using GetDone = std::function<void(const GetReply&)>;
    using ListDone = std::function<void(ListReply)>;
    using CommitDone = std::function<void(const CommitReply&)>;
    using LeaseDone = std::function<void(const LeaseReply&)>;

    void get(const std::string& key, RequestClass urgency, Millis timeout, GetDone done);
    // All keys with the prefix, page by page. The revision is that of the first page.
    void list(const std::string& prefix, RequestClass urgency, ListDone done);
    // One page: keys with the prefix, beginning after `after`. `more` tells whether others follow.
    void list_page(const std::string& prefix, const std::string& after, std::size_t most,
                   RequestClass urgency, ListDone done);
    // `may` is asked right before the transaction goes out; without it, only the conditions guard.
    void commit(const Transaction& transaction, RequestClass urgency, Millis timeout,
                CommitDone done, net::HttpClient::MaySend may = {});
    // All changes under the prefix after that revision, at once.
    void changes_since(const std::string& prefix, std::uint64_t after, RequestClass urgency,
                       Millis timeout, ListDone done);
    // Does nothing wait for the budget?
    bool has_spare_budget() const;
    void grant_lease(Millis ttl, LeaseDone done);
    void renew_lease(std::uint64_t lease, Millis timeout, LeaseDone done);
    void revoke_lease(std::uint64_t lease);
    // One long poll; the caller opens the next. Without an answer it ends `patience` after its
    // time.
    void watch(const std::string& prefix, std::uint64_t after, Millis wait, ListDone done,
               Millis patience = 5000);

    Millis last_answer_at() const { return last_answer_at_; }  // refusals aside
    const ServiceHealth& health() const { return health_; }
    // Asks something if nothing has been asked for a while, so that its health is known.
    void ping();

  private:
    struct Call {
        const char* method;
        std::string target;
        std::string body;
        double writes;
        Millis timeout;
        Millis deadline;
        net::HttpClient::Done on_reply;
        net::HttpClient::MaySend may_send = {};
    };
    void submit(RequestClass urgency, Call call);
    void send_queued();
    void fetch_next_page(std::shared_ptr<ListReply> sofar, const std::string& prefix,
                         const std::string& after, RequestClass urgency, ListDone done);
    void note_request_sent();
    void note_reply(const net::ClientReply& reply);
    void note_call_reply(const net::ClientReply& reply);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    net::HttpClient call_client_;
    net::HttpClient renewal_client_;
    net::HttpClient watch_client_;
    RateLimits limits_;
    double request_tokens_;
    double write_tokens_;
    Millis refilled_at_;
    std::deque<Call> queues_[5];  // by urgency
    net::Timer timer_;
    Millis last_answer_at_ = 0;
    Millis last_reply_at_ = 0;  // refusals count
    ServiceHealth health_;
    std::size_t calls_in_flight_ = 0;  // calls that are to be answered at once
    Millis throttled_until_ = 0;       // after a 429
};

// A sensible reply for everything but 200.
Status status_of(const net::ClientReply& reply);

}  // namespace nickelramp::kvstore
