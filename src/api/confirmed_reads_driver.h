// Runs the answers to users on libuv: what they ask of the state service goes to its client, their
// dates to a timer.
#pragma once
#include <string>

#include "api/confirmed_reads.h"
#include "api/job_store.h"
#include "kvstore/client.h"
#include "net/timer.h"
#include "wire/settings.h"

namespace nickelramp::api {

class ConfirmedReadsDriver : private JobStore {
  public:
    ConfirmedReadsDriver(uv_loop_t* loop, kvstore::Client& state, const wire::Settings& settings);

    JobStore& store() { return *this; }
    ConfirmedReads& reads() { return reads_; }
    void run_due_work() { reads_.run_due_work(now()); }

  private:
    void get(const std::string& key, Millis wait, Done<kvstore::GetReply> done) override;
    void changes(const std::string& prefix, std::uint64_t after,
                 Done<kvstore::ListReply> done) override;
    void revision(Done<kvstore::ListReply> done) override;
    void commit(const kvstore::Transaction& transaction, Millis wait,
                Done<kvstore::CommitReply> done) override;
    void watch(const std::string& prefix, std::uint64_t after, Millis wait,
               Done<kvstore::ListReply> done) override;
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    kvstore::Client& client_;
    net::Timer timer_;
    ConfirmedReads reads_;
};

}  // namespace nickelramp::api
