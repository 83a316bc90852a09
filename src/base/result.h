/// @file
/// The result of an operation that either succeeds with a value or fails with an error.
#pragma once
#include <utility>
#include <variant>

namespace nickelramp {

/// A value or an error: a subset of std::expected (C++23).
template <typename Value, typename Error>
class [[nodiscard]] Result {
  public:
    Result(Value value) : content_(std::in_place_index<0>, std::move(value)) {}
    Result(Error error) : content_(std::in_place_index<1>, std::move(error)) {}

    explicit operator bool() const { return content_.index() == 0; }
    /// Returns the value; throws std::bad_variant_access if there is none.
    const Value& operator*() const& { return std::get<0>(content_); }
    Value& operator*() & { return std::get<0>(content_); }
    Value&& operator*() && { return std::get<0>(std::move(content_)); }
    const Value* operator->() const { return &std::get<0>(content_); }
    Value* operator->() { return &std::get<0>(content_); }
    /// Returns the error; throws std::bad_variant_access if there is none.
    const Error& error() const { return std::get<1>(content_); }

  private:
    std::variant<Value, Error> content_;
};

}  // namespace nickelramp
