// What users' requests need of the state service. Every call is answered once, later, with the time
// of its answer; a call with a `wait` is answered by then.
#pragma once
#include <functional>
#include <string>

#include "base/time.h"
#include "kvstore/types.h"

namespace nickelramp::api {

class JobStore {
  public:
    template <typename Reply>
    using Done = std::function<void(Millis, const Reply&)>;

    virtual ~JobStore() = default;
    virtual void get(const std::string& key, Millis wait, Done<kvstore::GetReply> done) = 0;
    // All changes under the prefix after that revision, and the revision that they lead to.
    virtual void changes(const std::string& prefix, std::uint64_t after,
                         Done<kvstore::ListReply> done) = 0;
    // Something at or after the present revision, as a place to begin.
    virtual void revision(Done<kvstore::ListReply> done) = 0;
    virtual void commit(const kvstore::Transaction& transaction, Millis wait,
                        Done<kvstore::CommitReply> done) = 0;
    // The next change under the prefix after that revision; nothing if none comes in that time.
    virtual void watch(const std::string& prefix, std::uint64_t after, Millis wait,
                       Done<kvstore::ListReply> done) = 0;
};

}  // namespace nickelramp::api
