/// @file
/// A value that any code can read and only one class can change. The compiler thus enforces which
/// class changes the state of a job, an attempt or a machine, and the totals derived from it.
#pragma once

namespace nickelramp {

/// A value of type T that only the class Owner can change, through mutable_value() or assignment,
/// which are private. Any code can copy-construct it.
template <typename T, typename Owner>
class OwnedValue {
  public:
    OwnedValue() = default;
    explicit constexpr OwnedValue(T value) : value_(value) {}
    OwnedValue(const OwnedValue&) = default;
    /// Implicit, so that readers can use the value as a plain T.
    operator T() const { return value_; }
    [[nodiscard]] const T& get() const { return value_; }

  private:
    friend Owner;
    OwnedValue& operator=(const OwnedValue&) = default;
    [[nodiscard]] T& mutable_value() { return value_; }
    T value_{};
};

}  // namespace nickelramp
