"""CBOR (RFC 8949) for the values that PROTOCOL allows: maps, lists, text, numbers, booleans, null."""
import struct


def _head(major, value):
    if value < 24:
        return bytes([major << 5 | value])
    for info, size in ((24, 1), (25, 2), (26, 4), (27, 8)):
        if value < 1 << (8 * size):
            return bytes([major << 5 | info]) + value.to_bytes(size, "big")
    raise ValueError("integer too large")


def encode(value):
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        raw = value.encode()
        return _head(3, len(raw)) + raw
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(encode(item) for item in value)
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(encode(k) + encode(v) for k, v in value.items())
    raise TypeError(type(value))


def _decode(raw, at):
    first = raw[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info in (20, 21):
            return info == 21, at
        if info in (22, 23):
            return None, at
        size, code = {25: (2, ">e"), 26: (4, ">f"), 27: (8, ">d")}[info]
        return struct.unpack(code, raw[at:at + size])[0], at + size
    if info < 24:
        value = info
    else:
        size = {24: 1, 25: 2, 26: 4, 27: 8}[info]
        value = int.from_bytes(raw[at:at + size], "big")
        at += size
    if major == 0:
        return value, at
    if major == 1:
        return -1 - value, at
    if major == 3:
        return raw[at:at + value].decode(), at + value
    if major == 4:
        out = []
        for _ in range(value):
            item, at = _decode(raw, at)
            out.append(item)
        return out, at
    if major == 5:
        out = {}
        for _ in range(value):
            key, at = _decode(raw, at)
            out[key], at = _decode(raw, at)
        return out, at
    raise ValueError("unexpected CBOR item")


def decode(raw):
    value, at = _decode(raw, 0)
    if at != len(raw):
        raise ValueError("bytes after the item")
    return value
