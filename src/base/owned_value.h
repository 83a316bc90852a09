/// @file
/// A value that all may read and only its owner may change. The compiler then shows which class
/// changes the state of a job, an attempt or a machine, and the sums over them.
#pragma once

namespace nickelramp {

/// A value of type T that only the class Owner can change: by mutable_value() or by assignment,
/// both private. Copies of the object that contains it may be made by anybody.
template <typename T, typename Owner>
class OwnedValue {
  public:
    OwnedValue() = default;
    explicit constexpr OwnedValue(T value) : value_(value) {}
    OwnedValue(const OwnedValue&) = default;
    /// Implicit, so that readers use the value as a plain T.
    operator T() const { return value_; }
    [[nodiscard]] const T& get() const { return value_; }

  private:
    friend Owner;
    OwnedValue& operator=(const OwnedValue&) = default;
    [[nodiscard]] T& mutable_value() { return value_; }
    T value_{};
};

}  // namespace nickelramp
