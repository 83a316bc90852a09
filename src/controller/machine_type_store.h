/// @file
/// Polls the machine types that the cloud offers and keeps them in the key-value store.
#pragma once
#include <vector>

#include "cloud/cloud_client.h"
#include "kvstore/client.h"
#include "net/timer.h"
#include "wire/messages.h"

namespace nickelramp::controller {

/// Holds the current machine types. They are first read from the key-value store, so that a
/// controller that starts while the cloud is unavailable can serve requests. After that, the leader
/// polls the cloud; other controllers do so only until the types are known. The leader writes the
/// types to the key-value store once. Failed polls and writes are retried without limit. Runs on
/// the loop's thread; the clients and the listener must outlive it.
class MachineTypeStore {
  public:
    /// Implemented by the controller.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// Returns whether this controller runs a term. Types are written to the key-value store
        /// only then.
        [[nodiscard]] virtual bool leads() const = 0;
        /// Called after each successful read, even if the types have not changed.
        virtual void on_machine_types(const std::vector<wire::MachineType>& types) = 0;
    };

    MachineTypeStore(uv_loop_t* loop, kvstore::Client& store_client,
                     cloud::CloudClient& cloud_client, Listener& listener);

    /// Reads the stored types, then starts polling the cloud. Called once, by the controller.
    void start();

    /// Writes the types to the key-value store, unless they are stored already or unknown, or this
    /// controller does not lead.
    void store_if_leading();

    /// Empty until the first successful read.
    [[nodiscard]] const std::vector<wire::MachineType>& types() const { return types_; }

  private:
    void on_stored_types(const kvstore::GetReply& reply);
    void poll_cloud();
    void set_types(const std::vector<wire::MachineType>& types);

    kvstore::Client& store_client_;
    cloud::CloudClient& cloud_client_;
    Listener& listener_;
    net::Timer poll_timer_;
    std::vector<wire::MachineType> types_;
    bool stored_ = false;  // true also while the write is in progress
};

}  // namespace nickelramp::controller
