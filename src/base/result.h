/// @file
/// The result of an operation that can fail for a reason which the caller needs to know.
#pragma once
#include <utility>
#include <variant>

namespace nickelramp {

/// A value or an error. Like std::expected of later standards, reduced to what is used here.
template <typename Value, typename Error>
class [[nodiscard]] Result {
  public:
    Result(Value value) : content_(std::in_place_index<0>, std::move(value)) {}
    Result(Error error) : content_(std::in_place_index<1>, std::move(error)) {}

    explicit operator bool() const { return content_.index() == 0; }
    /// Only if there is a value; std::bad_variant_access otherwise.
    const Value& operator*() const& { return std::get<0>(content_); }
    Value& operator*() & { return std::get<0>(content_); }
    Value&& operator*() && { return std::get<0>(std::move(content_)); }
    const Value* operator->() const { return &std::get<0>(content_); }
    Value* operator->() { return &std::get<0>(content_); }
    /// Only if there is none; std::bad_variant_access otherwise.
    const Error& error() const { return std::get<1>(content_); }

  private:
    std::variant<Value, Error> content_;
};

}  // namespace nickelramp
