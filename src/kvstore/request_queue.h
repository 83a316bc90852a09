/// @file
/// Sends requests to the state service within the budget, in the order of their classes.
#pragma once
#include <uv.h>

#include <deque>
#include <string>
#include <vector>

#include "kvstore/health_tracker.h"
#include "kvstore/request_budget.h"
#include "kvstore/types.h"
#include "net/http_client.h"
#include "net/timer.h"

namespace nickelramp::kvstore {

/// An HTTP request that waits for the budget.
struct QueuedRequest {
    const char* method = nullptr;
    std::string target;
    std::string body;
    double writes = 0;   ///< number of keys that it writes
    Millis timeout = 0;  ///< from the time of queueing, including the wait for the budget
    net::HttpClient::Done on_reply;
    net::HttpClient::MaySend may_send;  ///< called right before it is sent; empty: always true
};

/// Owned by kvstore::Client; runs on the event loop's thread. A request that is not sent by its
/// deadline, or whose queue is full, is completed as refused. A request that is answered with 429
/// is sent again ahead of the others of its class, as long as its deadline allows, because the
/// service is expected to be overloaded only briefly.
class RequestQueue {
  public:
    /// `health` must outlive the queue.
    RequestQueue(uv_loop_t* loop, const sockaddr_in& address, const std::string& host,
                 RateLimits limits, HealthTracker& health);

    void set_limits(RateLimits limits) { budget_.set_limits(limits); }
    void submit(RequestClass request_class, QueuedRequest request);
    /// Returns whether no request waits for the budget.
    [[nodiscard]] bool empty() const;

  private:
    struct Pending {
        QueuedRequest request;
        Millis deadline = 0;
    };
    using Queue = std::deque<Pending>;
    void send_queued();
    bool send_queue(Queue& queue, Millis now, std::vector<net::HttpClient::Done>& expired);
    void send(Queue& queue, Pending pending, Millis now);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    HealthTracker& health_;
    net::HttpClient http_;
    RequestBudget budget_;
    Queue queues_[kRequestClassCount];  // by RequestClass
    net::Timer retry_timer_;
};

}  // namespace nickelramp::kvstore
