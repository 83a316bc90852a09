#include "kvstore/request_queue.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace nickelramp::kvstore {

namespace {
constexpr std::size_t kMaxConnections = 12;
constexpr std::size_t kMaxQueue = 2000;  // for each class
constexpr Millis kRetryStep = 10;        // while the budget is exhausted
constexpr int kTooManyRequests = 429;

net::ClientReply refused_reply() {
    return net::ClientReply{net::ClientReply::Outcome::refused, 0, "", 0};
}
}  // namespace

RequestQueue::RequestQueue(uv_loop_t* loop, const sockaddr_in& address, const std::string& host,
                           RateLimits limits, HealthTracker& health)
    : loop_(loop),
      health_(health),
      http_(loop, address, host, kMaxConnections, kMaxQueue),
      budget_(limits, static_cast<Millis>(uv_now(loop))),
      retry_timer_(loop, [this] { send_queued(); }) {}

void RequestQueue::submit(RequestClass request_class, QueuedRequest request) {
    Queue& queue = queues_[static_cast<std::size_t>(request_class)];
    // If the queue is full, the request gets a deadline in the past and is refused by
    // send_queued().
    const Millis deadline = queue.size() >= kMaxQueue ? 0 : now() + request.timeout;
    queue.push_back({std::move(request), deadline});
    send_queued();
}

bool RequestQueue::empty() const {
    return std::all_of(std::begin(queues_), std::end(queues_),
                       [](const Queue& queue) { return queue.empty(); });
}

void RequestQueue::send_queued() {
    const Millis sent_at = now();
    budget_.refill(sent_at);
    std::vector<net::HttpClient::Done> expired;
    for (Queue& queue : queues_) {
        if (send_queue(queue, sent_at, expired)) continue;
        retry_timer_.after(kRetryStep);
        break;
    }
    for (auto& done : expired) done(refused_reply());
}

// Returns false if a request in the queue has to wait for the budget. The classes after it then
// wait, too.
bool RequestQueue::send_queue(Queue& queue, Millis now,
                              std::vector<net::HttpClient::Done>& expired) {
    while (!queue.empty()) {
        Pending& next = queue.front();
        if (now >= next.deadline) {
            expired.push_back(std::move(next.request.on_reply));
            queue.pop_front();
            continue;
        }
        if (health_.throttled(now) || !budget_.allows(next.request.writes)) return false;
        budget_.spend(next.request.writes);
        Pending pending = std::move(next);
        queue.pop_front();
        send(queue, std::move(pending), now);
    }
    return true;
}

void RequestQueue::send(Queue& queue, Pending pending, Millis now) {
    health_.on_request_sent(now);
    auto sent = std::make_shared<Pending>(std::move(pending));
    const QueuedRequest& request = sent->request;
    http_.request(
        request.method, request.target, request.body, sent->deadline - now,
        [this, sent, &queue](const net::ClientReply& reply) {
            const Millis replied_at = this->now();
            health_.on_request_reply(reply, replied_at);
            const bool throttled = reply.outcome == net::ClientReply::Outcome::answered &&
                                   reply.status == kTooManyRequests;
            if (throttled && replied_at + kThrottleBackoff < sent->deadline) {
                queue.push_front(std::move(*sent));
                send_queued();
            } else {
                sent->request.on_reply(reply);
            }
        },
        request.may_send);
}

}  // namespace nickelramp::kvstore
