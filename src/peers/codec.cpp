#include "peers/codec.h"

namespace nickelramp::peers {

std::string frame(std::uint64_t kind, const Writer& message) {
    Writer head;
    head.number(kProtocolVersion);
    head.number(kind);
    Writer length;
    length.number(head.bytes().size() + message.bytes().size());
    return length.bytes() + head.bytes() + message.bytes();
}

// Also where the stream ends with a whole frame, as it mostly does: it was once kept for as long as
// the connection lasted.
void Framer::discard_consumed() {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
}

std::optional<Framer::Frame> Framer::next() {
    if (broken_) return std::nullopt;
    std::string_view rest = std::string_view(buffer_).substr(consumed_);
    Reader length(rest);
    std::uint64_t n = length.number();
    if (!length.good()) {
        broken_ = rest.size() >= 10;  // no length takes so many bytes
        discard_consumed();
        return std::nullopt;
    }
    if (n > kMaxFrameBytes) {
        broken_ = true;
        return std::nullopt;
    }
    if (length.remaining().size() < n) {
        discard_consumed();
        return std::nullopt;
    }
    std::string_view body = length.remaining().substr(0, n);
    consumed_ += rest.size() - length.remaining().size() + n;
    Reader in(body);
    Frame f;
    f.version = in.number();
    f.kind = in.number();
    if (!in.good()) {
        broken_ = true;
        return std::nullopt;
    }
    f.body = std::string(in.remaining());
    return f;
}

}  // namespace nickelramp::peers
