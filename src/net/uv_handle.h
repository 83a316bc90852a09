/// @file
/// Ownership of libuv handles.
#pragma once
#include <uv.h>

#include <utility>

namespace nickelramp::net {

/// Owns one libuv handle. libuv refers to a handle until its close callback has run. The memory is
/// therefore released in that callback, in a later iteration of the loop, and not in the
/// destructor. The loop must run, or be walked, once more after the owner has been destroyed. Must
/// be used on the loop's thread only.
template <typename Handle>
class UvHandle {
  public:
    using Initialize = int (*)(uv_loop_t*, Handle*);

    /// @param initialize libuv's function for the handle type, such as uv_tcp_init
    /// @param data pointer that is stored in the handle for its callbacks
    UvHandle(uv_loop_t* loop, Initialize initialize, void* data = nullptr) : handle_(new Handle{}) {
        initialize(loop, handle_);
        handle_->data = data;
    }
    ~UvHandle() { close(); }
    UvHandle(const UvHandle&) = delete;
    UvHandle& operator=(const UvHandle&) = delete;

    /// Returns the handle, or nullptr once it is closed.
    Handle* get() const { return handle_; }
    bool is_closed() const { return handle_ == nullptr; }

    /// Closes the handle. Afterwards only the callbacks of pending requests run, with UV_ECANCELED.
    /// May be called repeatedly.
    void close() {
        if (Handle* handle = std::exchange(handle_, nullptr)) {
            uv_close(reinterpret_cast<uv_handle_t*>(handle),
                     [](uv_handle_t* closed) { delete reinterpret_cast<Handle*>(closed); });
        }
    }

    /// Allows the loop to end while this handle is active.
    void unref() { uv_unref(reinterpret_cast<uv_handle_t*>(handle_)); }

  private:
    Handle* handle_;
};

}  // namespace nickelramp::net
