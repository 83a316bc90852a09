#include "controller/machine_type_store.h"

namespace nickelramp::controller {

namespace {
constexpr const char* kMachineTypesKey = "fleet/types";
constexpr Millis kReadTimeout = 2'000;
constexpr Millis kWriteTimeout = 2'500;
constexpr Millis kPollInterval = 30'000;
constexpr Millis kPollRetryInterval = 2'000;
}  // namespace

MachineTypeStore::MachineTypeStore(uv_loop_t* loop, kvstore::Client& store_client,
                                   cloud::CloudClient& cloud_client, Listener& listener)
    : store_client_(store_client),
      cloud_client_(cloud_client),
      listener_(listener),
      poll_timer_(loop, [this] { poll_cloud(); }) {}

void MachineTypeStore::start() {
    store_client_.get(kMachineTypesKey, kvstore::RequestClass::control, kReadTimeout,
                      [this](const kvstore::GetReply& reply) {
                          on_stored_types(reply);
                          poll_cloud();
                      });
}

void MachineTypeStore::on_stored_types(const kvstore::GetReply& reply) {
    if (reply.status != kvstore::Status::ok || !types_.empty()) return;
    const auto types = wire::decode_machine_types(reply.entry.value);
    if (!types) return;
    stored_ = true;
    set_types(*types);
}

void MachineTypeStore::poll_cloud() {
    if (!types_.empty() && !listener_.leads()) {
        poll_timer_.after(kPollInterval);
        return;
    }
    cloud_client_.list_machine_types(
        [this](const std::optional<std::vector<wire::MachineType>>& types) {
            if (types) {
                set_types(*types);
                store_if_leading();
            }
            poll_timer_.after(types ? kPollInterval : kPollRetryInterval);
        });
}

void MachineTypeStore::set_types(const std::vector<wire::MachineType>& types) {
    types_ = types;
    listener_.on_machine_types(types_);
}

void MachineTypeStore::store_if_leading() {
    if (stored_ || types_.empty() || !listener_.leads()) return;
    stored_ = true;
    kvstore::Transaction transaction;
    transaction.writes = {{kMachineTypesKey, wire::encode_machine_types(types_), 0}};
    store_client_.commit(transaction, kvstore::RequestClass::background, kWriteTimeout,
                         [this](const kvstore::CommitReply& reply) {
                             if (reply.status != kvstore::Status::ok) stored_ = false;
                         });
}

}  // namespace nickelramp::controller
