// The back channel's own codec. A stream of frames:
//
//   length  varint, of what follows; at most 64 KiB
//   version varint
//   kind    varint
//   fields  varints (LEB128), texts (length and bytes), lists (count and items)
//
// A reader takes what it knows of a message; fields that a later version adds come last and are
// passed over. Kinds that it does not know are passed over whole.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nickelramp::peers {

inline constexpr std::size_t kMaxFrameBytes = 64 * 1024;
inline constexpr std::uint64_t kProtocolVersion = 1;

class Writer {
  public:
    void number(std::uint64_t v) {
        while (v >= 0x80) {
            bytes_.push_back(static_cast<char>(v | 0x80));
            v >>= 7;
        }
        bytes_.push_back(static_cast<char>(v));
    }
    void text(std::string_view s) {
        number(s.size());
        bytes_.append(s);
    }
    const std::string& bytes() const { return bytes_; }

  private:
    std::string bytes_;
};

// Reads never go past the end; after a bad read everything is zero or empty and `good` is false.
class Reader {
  public:
    explicit Reader(std::string_view in) : remaining_(in) {}
    std::uint64_t number() {
        std::uint64_t v = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            if (remaining_.empty()) return fail();
            auto b = static_cast<unsigned char>(remaining_.front());
            remaining_.remove_prefix(1);
            if (shift == 63 && b > 1) return fail();
            v |= static_cast<std::uint64_t>(b & 0x7f) << shift;
            if ((b & 0x80) == 0) return v;
        }
        return fail();
    }
    std::string text() {
        std::uint64_t n = number();
        if (!good_ || n > remaining_.size()) return fail(), std::string();
        std::string out(remaining_.substr(0, n));
        remaining_.remove_prefix(n);
        return out;
    }
    // The number of items to come; each takes at least one byte.
    std::uint64_t count() {
        std::uint64_t n = number();
        return n > remaining_.size() ? fail() : n;
    }
    bool good() const { return good_; }
    std::string_view remaining() const { return remaining_; }

  private:
    std::uint64_t fail() {
        good_ = false;
        remaining_ = {};
        return 0;
    }
    std::string_view remaining_;
    bool good_ = true;
};

// A whole frame around a message's bytes.
std::string frame(std::uint64_t kind, const Writer& message);

// Cuts frames out of a stream. `broken`: the stream cannot be followed any more.
class Framer {
  public:
    struct Frame {
        std::uint64_t version = 0, kind = 0;
        std::string body;
    };
    void add(std::string_view bytes) { buffer_.append(bytes); }
    std::optional<Frame> next();
    bool broken() const { return broken_; }
    std::size_t buffered_bytes() const { return buffer_.size(); }  // bytes, read ones included

  private:
    void discard_consumed();

    std::string buffer_;
    std::size_t consumed_ = 0;
    bool broken_ = false;
};

}  // namespace nickelramp::peers
