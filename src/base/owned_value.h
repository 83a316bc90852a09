// A value that everybody may read and only its owner may change. The compiler then knows who
// changes the state of a job, an attempt or a machine, and what is summed up over them.
#pragma once

namespace nickelramp {

template <typename T, typename Owner>
class OwnedValue {
  public:
    OwnedValue() = default;
    explicit constexpr OwnedValue(T value) : value_(value) {}
    OwnedValue(const OwnedValue&) = default;
    operator T() const { return value_; }
    const T& get() const { return value_; }

  private:
    friend Owner;
    OwnedValue& operator=(const OwnedValue&) = default;
    T& mutable_value() { return value_; }
    T value_{};
};

}  // namespace nickelramp
