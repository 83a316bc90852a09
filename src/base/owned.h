// A value that everybody may read and only its owner may change. The compiler then knows who
// changes the state of a job, an attempt or a machine, and what is summed up over them.
#pragma once

namespace nickelramp {

template <typename T, typename Owner>
class Owned {
  public:
    Owned() = default;
    explicit constexpr Owned(T value) : value_(value) {}
    Owned(const Owned&) = default;
    operator T() const { return value_; }
    const T& get() const { return value_; }

  private:
    friend Owner;
    Owned& operator=(const Owned&) = default;
    T& own() { return value_; }
    T value_{};
};

}  // namespace nickelramp
