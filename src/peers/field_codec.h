/// @file
/// Messages between controllers, field by field. Each message type has one function
///
///     template <typename Codec, MessageOf<Status> Message>
///     void visit_fields(Codec& codec, Message& message)
///
/// that visits its fields in wire order. Both FieldEncoder and FieldDecoder use that function, so
/// that writing and reading cannot diverge. Used only by the message sources of this module.
#pragma once
#include <cmath>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "peers/codec.h"
#include "peers/messages.h"

namespace nickelramp::peers {

/// Satisfied by `const Message`, which is encoded, and by `Message`, which is decoded into.
template <typename Candidate, typename Message>
concept MessageOf = std::same_as<std::remove_const_t<Candidate>, Message>;

inline constexpr double kMillisecondsPerSecond = 1000.0;
/// Longer durations are clamped to this value, about a year, so that a faulty value from a sender
/// cannot cause an overflow.
inline constexpr double kMaxDurationSeconds = 3.2e7;

/// Appends fields to a message's bytes.
class FieldEncoder {
  public:
    template <typename... Values>
    void numbers(const Values&... values) {
        (writer_.number(values), ...);
    }
    template <typename... Values>
    void texts(const Values&... values) {
        (writer_.text(values), ...);
    }
    void number32(std::uint32_t value) { writer_.number(value); }
    void flag(bool value) { writer_.number(value ? 1 : 0); }
    template <typename Enum>
    void enumeration(Enum value, Enum /*last*/) {
        writer_.number(static_cast<std::uint64_t>(value));
    }
    /// Writes seconds as milliseconds.
    void duration(double seconds) { writer_.number(to_milliseconds(seconds)); }
    /// Writes seconds as milliseconds plus one; 0 stands for no value.
    void optional_duration(const std::optional<double>& seconds) {
        writer_.number(seconds ? to_milliseconds(*seconds) + 1 : 0);
    }
    /// Writes the number of items, then each item. `visit` visits the fields of an item.
    template <typename Items, typename Visit>
    void list(const Items& items, Visit visit) {
        writer_.number(items.size());
        for (const auto& item : items) visit(item);
    }
    /// Always true: the encoder writes all fields, including those that earlier versions lack.
    static constexpr bool has_more() { return true; }

    const Writer& message() const { return writer_; }

  private:
    static std::uint64_t to_milliseconds(double seconds) {
        const double bounded = std::fmin(std::fmax(seconds, 0.0), kMaxDurationSeconds);
        return static_cast<std::uint64_t>(std::llround(bounded * kMillisecondsPerSecond));
    }

    Writer writer_;
};

/// Reads the fields that a FieldEncoder wrote. A truncated or out-of-range field makes the whole
/// message unreadable, and good() is false from then on.
class FieldDecoder {
  public:
    explicit FieldDecoder(std::string_view body) : reader_(body) {}

    template <typename... Values>
    void numbers(Values&... values) {
        ((values = reader_.number()), ...);
    }
    template <typename... Values>
    void texts(Values&... values) {
        ((values = reader_.text()), ...);
    }
    void number32(std::uint32_t& value) {
        const std::uint64_t number = reader_.number();
        if (number > UINT32_MAX) in_range_ = false;
        value = static_cast<std::uint32_t>(number);
    }
    void flag(bool& value) { value = reader_.number() != 0; }
    template <typename Enum>
    void enumeration(Enum& value, Enum last) {
        const std::uint64_t number = reader_.number();
        if (number > static_cast<std::uint64_t>(last))
            in_range_ = false;
        else
            value = static_cast<Enum>(number);
    }
    void duration(double& seconds) { seconds = to_seconds(reader_.number()); }
    void optional_duration(std::optional<double>& seconds) {
        if (const std::uint64_t number = reader_.number(); number != 0)
            seconds = to_seconds(number - 1);
    }
    template <typename Items, typename Visit>
    void list(Items& items, Visit visit) {
        for (std::uint64_t left = reader_.count(); left > 0 && good(); --left) {
            typename Items::value_type item{};
            visit(item);
            items.push_back(std::move(item));
        }
    }
    /// Returns whether further fields follow. False at the end of a message of an earlier version,
    /// which lacks the fields added later.
    bool has_more() const { return good() && !reader_.remaining().empty(); }
    bool good() const { return in_range_ && reader_.good(); }

  private:
    static double to_seconds(std::uint64_t milliseconds) {
        return static_cast<double>(milliseconds) / kMillisecondsPerSecond;
    }

    Reader reader_;
    bool in_range_ = true;
};

/// Returns the complete frame of a message.
template <typename Message>
std::string encode_frame(MessageKind kind, const Message& message) {
    FieldEncoder encoder;
    visit_fields(encoder, message);
    return frame(static_cast<std::uint64_t>(kind), encoder.message());
}

/// Returns nothing if the body cannot be read or the message has no sender.
template <typename Message>
std::optional<Message> decode_body(std::string_view body) {
    FieldDecoder decoder(body);
    Message message;
    visit_fields(decoder, message);
    if (!decoder.good() || message.from.empty()) return std::nullopt;
    return message;
}

}  // namespace nickelramp::peers
