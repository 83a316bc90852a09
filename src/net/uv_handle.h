/// @file
/// Ownership of libuv handles.
#pragma once
#include <uv.h>

#include <utility>

namespace nickelramp::net {

/// Owns one libuv handle. libuv refers to a handle until its close callback has run, so the memory
/// is released there, in a later turn of the loop, and not by the destructor itself. The loop must
/// still run, or be walked, once after the owner is gone. To be used on the loop's thread only.
template <typename Handle>
class UvHandle {
  public:
    using Initialize = int (*)(uv_loop_t*, Handle*);

    /// `initialize` is libuv's function for the type, such as uv_tcp_init. `data` is stored in the
    /// handle, for its callbacks.
    UvHandle(uv_loop_t* loop, Initialize initialize, void* data = nullptr) : handle_(new Handle{}) {
        initialize(loop, handle_);
        handle_->data = data;
    }
    ~UvHandle() { close(); }
    UvHandle(const UvHandle&) = delete;
    UvHandle& operator=(const UvHandle&) = delete;

    /// Null once the handle is closed.
    Handle* get() const { return handle_; }
    bool is_closed() const { return handle_ == nullptr; }

    /// Stops all callbacks of the handle but those of requests under way, which end with
    /// UV_ECANCELED. May be called again.
    void close() {
        if (Handle* handle = std::exchange(handle_, nullptr)) {
            uv_close(reinterpret_cast<uv_handle_t*>(handle),
                     [](uv_handle_t* closed) { delete reinterpret_cast<Handle*>(closed); });
        }
    }

    /// The loop may end although this handle is active.
    void unref() { uv_unref(reinterpret_cast<uv_handle_t*>(handle_)); }

  private:
    Handle* handle_;
};

}  // namespace nickelramp::net
