#include "peers/codec.h"

namespace nickelramp::peers {

namespace {
constexpr std::size_t kMaxVarintBytes = 10;  // for a 64-bit value
}

std::string frame(std::uint64_t kind, const Writer& message) {
    Writer head;
    head.number(kProtocolVersion);
    head.number(kind);
    Writer length;
    length.number(head.bytes().size() + message.bytes().size());
    return length.bytes() + head.bytes() + message.bytes();
}

// Called whenever no complete frame is left, even if no bytes follow the last frame, as is usual.
// Otherwise the last frame would stay in memory for as long as the connection lasts.
void Framer::discard_consumed() {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
}

std::optional<Framer::Frame> Framer::fail() {
    broken_ = true;
    return std::nullopt;
}

std::optional<Framer::Frame> Framer::next() {
    if (broken_) return std::nullopt;
    const std::string_view unread = std::string_view(buffer_).substr(consumed_);
    Reader reader(unread);
    const std::uint64_t length = reader.number();
    if (!reader.good()) {
        broken_ = unread.size() >= kMaxVarintBytes;  // otherwise the length is incomplete
        discard_consumed();
        return std::nullopt;
    }
    if (length > kMaxFrameBytes) return fail();
    if (reader.remaining().size() < length) {
        discard_consumed();
        return std::nullopt;
    }
    consumed_ += unread.size() - reader.remaining().size() + length;
    Reader content(reader.remaining().substr(0, length));
    Frame frame;
    frame.version = content.number();
    frame.kind = content.number();
    if (!content.good()) return fail();
    frame.body = std::string(content.remaining());
    return frame;
}

}  // namespace nickelramp::peers
