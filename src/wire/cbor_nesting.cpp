#include "wire/cbor_nesting.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace nickelramp::wire {

namespace {

// Major types and additional information of RFC 8949, section 3.
constexpr std::uint8_t kByteString = 2, kTextString = 3, kList = 4, kMap = 5, kTag = 6;
constexpr std::uint8_t kFirstWithArgument = 24, kFirstReserved = 28, kIndefinite = 31;
constexpr std::uint8_t kBreak = 0xff;

// The first bytes of an item.
struct Head {
    std::uint8_t major_type = 0;
    bool indefinite = false;
    std::uint64_t argument = 0;  // a value, a length in bytes or a number of items
};

// A map, list or string that has not ended.
struct Level {
    bool indefinite = false;
    std::uint64_t items_left = 0;  // unless its length is indefinite
};

class NestingReader {
  public:
    NestingReader(std::string_view body, std::size_t max_depth)
        : body_(body), max_depth_(max_depth) {}

    // Returns whether the body is one item and the limit holds.
    bool read() {
        do {
            if (!read_item()) return false;
            end_levels();
        } while (!levels_.empty());
        return position_ == body_.size();
    }

  private:
    // Reads a break, an item without others inside, or the beginning of one with others inside.
    bool read_item() {
        if (is_at_break()) {
            ++position_;
            levels_.pop_back();
            return true;
        }
        if (!levels_.empty() && !levels_.back().indefinite) --levels_.back().items_left;
        const auto head = read_head();
        if (!head) return false;
        switch (head->major_type) {
            case kByteString:
            case kTextString:
                return head->indefinite ? begin_level({true, 0}) : skip(head->argument);
            case kList:
                return begin_level({head->indefinite, head->argument});
            case kMap:
                // A map of more pairs than this has more items than the body has bytes.
                return head->argument <= body_.size() &&
                       begin_level({head->indefinite, 2 * head->argument});
            case kTag:
                return false;  // the reader rejects tags
            default:           // numbers and simple values
                return !head->indefinite;
        }
    }

    bool is_at_break() const {
        return !levels_.empty() && levels_.back().indefinite && position_ < body_.size() &&
               static_cast<std::uint8_t>(body_[position_]) == kBreak;
    }

    std::optional<Head> read_head() {
        if (position_ == body_.size()) return std::nullopt;
        const auto first = static_cast<std::uint8_t>(body_[position_++]);
        Head head;
        head.major_type = first >> 5;
        const std::uint8_t information = first & 0x1f;
        head.indefinite = information == kIndefinite;
        if (information < kFirstWithArgument) {
            head.argument = information;
        } else if (information < kFirstReserved) {
            const std::size_t bytes = std::size_t{1} << (information - kFirstWithArgument);
            if (bytes > body_.size() - position_) return std::nullopt;
            for (std::size_t i = 0; i < bytes; ++i)
                head.argument = head.argument << 8 | static_cast<std::uint8_t>(body_[position_++]);
        } else if (!head.indefinite) {
            return std::nullopt;
        }
        return head;
    }

    bool begin_level(Level level) {
        levels_.push_back(level);
        return levels_.size() <= max_depth_;
    }

    bool skip(std::uint64_t bytes) {
        if (bytes > body_.size() - position_) return false;
        position_ += static_cast<std::size_t>(bytes);
        return true;
    }

    void end_levels() {
        while (!levels_.empty() && !levels_.back().indefinite && levels_.back().items_left == 0)
            levels_.pop_back();
    }

    std::string_view body_;
    std::size_t max_depth_;
    std::size_t position_ = 0;
    std::vector<Level> levels_;
};

}  // namespace

bool is_nested_at_most(std::string_view body, std::size_t max_depth) {
    return NestingReader(body, max_depth).read();
}

}  // namespace nickelramp::wire
