/// @file
/// The encoding of messages between controllers. A connection carries a stream of frames:
///
///     length   varint, the number of bytes that follow; at most 64 KiB
///     version  varint
///     kind     varint, a MessageKind
///     fields   varints (LEB128), texts (length and bytes), lists (count and items)
///
/// Compatibility: later versions may append fields, which a reader ignores, and add kinds, which
/// are dropped. The classes here are independent of the message types; see field_codec.h for those.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nickelramp::peers {

inline constexpr std::size_t kMaxFrameBytes = 64 * 1024;
inline constexpr std::uint64_t kProtocolVersion = 1;

/// Appends fields to a message's bytes.
class Writer {
  public:
    void number(std::uint64_t value) {
        while (value >= kContinuationBit) {
            bytes_.push_back(static_cast<char>(value | kContinuationBit));
            value >>= 7;
        }
        bytes_.push_back(static_cast<char>(value));
    }
    void text(std::string_view value) {
        number(value.size());
        bytes_.append(value);
    }
    const std::string& bytes() const { return bytes_; }

  private:
    static constexpr std::uint64_t kContinuationBit = 0x80;

    std::string bytes_;
};

/// Reads fields and never reads past the end. After a field that cannot be read, good() is false
/// and all further fields read as zero or empty.
class Reader {
  public:
    explicit Reader(std::string_view bytes) : remaining_(bytes) {}

    std::uint64_t number() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            if (remaining_.empty()) return fail();
            const auto byte = static_cast<unsigned char>(remaining_.front());
            remaining_.remove_prefix(1);
            if (shift == 63 && byte > 1) return fail();  // beyond 64 bits
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if ((byte & 0x80) == 0) return value;
        }
        return fail();
    }
    std::string text() {
        const std::uint64_t size = number();
        if (!good_ || size > remaining_.size()) {
            fail();
            return "";
        }
        std::string value(remaining_.substr(0, size));
        remaining_.remove_prefix(size);
        return value;
    }
    /// Reads the number of items in a list. Each item takes at least one byte, so a count beyond
    /// the remaining bytes is an error. This prevents allocations for a false count.
    std::uint64_t count() {
        const std::uint64_t items = number();
        return items > remaining_.size() ? fail() : items;
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

/// Returns the frame of a message in this protocol version. `kind` is a MessageKind.
std::string frame(std::uint64_t kind, const Writer& message);

/// Splits a stream of bytes into frames.
class Framer {
  public:
    struct Frame {
        std::uint64_t version = 0, kind = 0;
        std::string body;
    };

    void add(std::string_view bytes) { buffer_.append(bytes); }
    /// Returns the next complete frame, or nothing if more bytes are needed or the stream is
    /// broken.
    std::optional<Frame> next();
    /// Returns whether frame boundaries can no longer be found. The connection must then be closed.
    bool broken() const { return broken_; }
    /// Returns the memory in use: the bytes of incomplete frames, and of the frames returned since
    /// the buffer was last compacted.
    std::size_t buffered_bytes() const { return buffer_.size(); }

  private:
    std::optional<Frame> fail();
    void discard_consumed();

    std::string buffer_;
    std::size_t consumed_ = 0;
    bool broken_ = false;
};

}  // namespace nickelramp::peers
