/// \file
/// The machine types that the cloud offers, polled from the cloud and kept in the key-value store.
#pragma once
#include <vector>

#include "cloud/cloud_client.h"
#include "kvstore/client.h"
#include "net/timer.h"
#include "wire/messages.h"

namespace nickelramp::controller {

/// Knows the current machine types. At the start they are read from the key-value store, so that a
/// controller that starts while the cloud is unavailable can serve; after that the cloud is polled.
/// The leader stores the types once, when it has them. Errors of either service are retried
/// forever. Runs on the loop's thread; the clients and the listener must outlive it.
class MachineTypeStore {
  public:
    /// Implemented by the controller.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// Whether this controller runs a term now; only then are types written to the store.
        [[nodiscard]] virtual bool leads() const = 0;
        /// Called after each successful read, also when the types are the same as before.
        virtual void on_machine_types(const std::vector<wire::MachineType>& types) = 0;
    };

    MachineTypeStore(uv_loop_t* loop, kvstore::Client& store_client,
                     cloud::CloudClient& cloud_client, Listener& listener);

    /// Reads the stored types and begins to poll the cloud. Called once, by the controller.
    void start();

    /// Writes the types to the key-value store unless they are there, unknown, or this controller
    /// does not lead.
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
    bool stored_ = false;  // or being stored
};

}  // namespace nickelramp::controller
