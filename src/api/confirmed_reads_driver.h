/// @file
/// Runs ConfirmedReads on a libuv loop.
#pragma once
#include <uv.h>

#include <cstdint>
#include <string>

#include "api/confirmed_reads.h"
#include "api/job_store.h"
#include "kvstore/client.h"
#include "net/timer.h"
#include "wire/settings.h"

namespace nickelramp::api {

/// Connects ConfirmedReads, which uses neither sockets nor clocks, to a client of the key-value
/// store and a timer. The controller owns it and calls run_due_work() periodically. The client and
/// the loop must outlive it. To be used on the loop's thread only.
class ConfirmedReadsDriver : private JobStore {
  public:
    ConfirmedReadsDriver(uv_loop_t* loop, kvstore::Client& client, const wire::Settings& settings);

    /// Returns the store for JobRequestHandler.
    JobStore& store() { return *this; }
    ConfirmedReads& reads() { return reads_; }
    void run_due_work() { reads_.run_due_work(now()); }

  private:
    void get(const std::string& key, Millis timeout, Done<kvstore::GetReply> done) override;
    void changes(const std::string& prefix, std::uint64_t after_revision,
                 Done<kvstore::ListReply> done) override;
    void revision(Done<kvstore::ListReply> done) override;
    void commit(const kvstore::Transaction& transaction, Millis timeout,
                Done<kvstore::CommitReply> done) override;
    void watch(const std::string& prefix, std::uint64_t after_revision, Millis timeout,
               Done<kvstore::ListReply> done) override;
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    kvstore::Client& client_;
    net::Timer timer_;
    ConfirmedReads reads_;
};

}  // namespace nickelramp::api
