/// @file
/// What requests of users need of the key-value store.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "base/time.h"
#include "kvstore/types.h"

namespace nickelramp::api {

/// Of the keys of jobs' records; jobs::job_key appends the job's id.
inline constexpr const char* kJobPrefix = "job/";

/// The key-value store as this module sees it. Implemented by ConfirmedReadsDriver, and by the
/// tests' simulations. Each call gives one reply, later, on the loop's thread, with the time in
/// milliseconds at which it came; a call with a `timeout` (milliseconds) gives it by then.
class JobStore {
  public:
    template <typename Reply>
    using Done = std::function<void(Millis now, const Reply&)>;

    virtual ~JobStore() = default;
    virtual void get(const std::string& key, Millis timeout, Done<kvstore::GetReply> done) = 0;
    /// All changes under the prefix after the revision, and the revision that they lead to.
    virtual void changes(const std::string& prefix, std::uint64_t after_revision,
                         Done<kvstore::ListReply> done) = 0;
    /// A revision that is current or later than the call, from which changes can be read.
    virtual void revision(Done<kvstore::ListReply> done) = 0;
    virtual void commit(const kvstore::Transaction& transaction, Millis timeout,
                        Done<kvstore::CommitReply> done) = 0;
    /// The next changes under the prefix after the revision; none if none come in time.
    virtual void watch(const std::string& prefix, std::uint64_t after_revision, Millis timeout,
                       Done<kvstore::ListReply> done) = 0;
};

}  // namespace nickelramp::api
