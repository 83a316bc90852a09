"""HTTP/1.1 with CBOR bodies on asyncio: servers, and clients with one connection each."""
import asyncio

import cbor

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 413: "Payload Too Large", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def parse_target(target):
    path, _, query = target.partition("?")
    parameters = {}
    for part in query.split("&"):
        if "=" in part:
            key, value = part.split("=", 1)
            parameters[key] = value
    return path, parameters


class Raw(bytes):
    """A body that is encoded already."""


class Server:
    """Calls `handler(method, path, query, body)` for each request. It returns (status, value), or
    None to give no answer and leave the connection open."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.port = 0

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, query = parse_target(target)
                answer = await self.handler(method, path, query, body)
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                status, value = answer
                raw = value if isinstance(value, Raw) else cbor.encode(value)
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                              f"Content-Type: application/cbor\r\nContent-Length: {len(raw)}\r\n"
                              "\r\n").encode() + raw)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Client:
    """One connection to one server, opened when needed. request() returns (status, value) or None
    for no answer."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.host, self.port = host, int(port)
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def _request(self, method, target, raw):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port,
                                                                     limit=1 << 22)
        self.writer.write((f"{method} {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
                           f"Content-Type: application/cbor\r\nContent-Length: {len(raw)}\r\n\r\n"
                           ).encode() + raw)
        await self.writer.drain()
        line, headers, body = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), body

    async def request(self, method, target, value=None, timeout=5.0, raw=b""):
        if value is not None:
            raw = cbor.encode(value)
        try:
            status, body = await asyncio.wait_for(self._request(method, target, raw), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
            self.close()
            return None
        try:
            return status, (cbor.decode(body) if body else None)
        except (ValueError, KeyError, IndexError):
            return status, None
