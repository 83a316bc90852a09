"""Stand-ins for the surroundings of nickelramp, as PROTOCOL-nickelramp.md describes them: state service, cloud,
workers and users, on loopback and the real clock, in one asyncio process; and the controllers, each a process of its
own, started with the command of deploy/service.toml. Needs python3 alone."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


# ---------------------------------------------------------------- CBOR (RFC 8949), the part that is used

def _head(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    for code, fmt, top in ((24, ">B", 1 << 8), (25, ">H", 1 << 16), (26, ">I", 1 << 32), (27, ">Q", 1 << 64)):
        if n < top:
            return bytes([major << 5 | code]) + struct.pack(fmt, n)
    raise ValueError(n)


def dumps(v):
    if v is None:
        return b"\xf6"
    if v is True:
        return b"\xf5"
    if v is False:
        return b"\xf4"
    if isinstance(v, int):
        return _head(0, v) if v >= 0 else _head(1, -1 - v)
    if isinstance(v, float):
        return b"\xfb" + struct.pack(">d", v)
    if isinstance(v, str):
        b = v.encode()
        return _head(3, len(b)) + b
    if isinstance(v, (list, tuple)):
        return _head(4, len(v)) + b"".join(dumps(x) for x in v)
    if isinstance(v, dict):
        return _head(5, len(v)) + b"".join(dumps(k) + dumps(x) for k, x in v.items())
    raise TypeError(type(v))


def _load(b, i):
    first = b[i]
    i += 1
    major, low = first >> 5, first & 31
    if major == 7:
        if low == 20:
            return False, i
        if low == 21:
            return True, i
        if low in (22, 23):
            return None, i
        if low == 25:
            return struct.unpack_from(">e", b, i)[0], i + 2
        if low == 26:
            return struct.unpack_from(">f", b, i)[0], i + 4
        if low == 27:
            return struct.unpack_from(">d", b, i)[0], i + 8
        raise ValueError("simple")
    if low < 24:
        n = low
    else:
        size = 1 << (low - 24)
        n = int.from_bytes(b[i:i + size], "big")
        i += size
    if major == 0:
        return n, i
    if major == 1:
        return -1 - n, i
    if major == 3:
        return b[i:i + n].decode(), i + n
    if major == 4:
        out = []
        for _ in range(n):
            v, i = _load(b, i)
            out.append(v)
        return out, i
    if major == 5:
        out = {}
        for _ in range(n):
            k, i = _load(b, i)
            out[k], i = _load(b, i)
        return out, i
    raise ValueError("type")


def loads(b):
    v, i = _load(b, 0)
    if i != len(b):
        raise ValueError("trailing bytes")
    return v


# ---------------------------------------------------------------- HTTP/1.1

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Reads one message; returns (first line, headers, body), or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(handler, host="127.0.0.1", port=0):
    """handler(method, path, query, body bytes) -> (status, object), or None: the connection is closed unanswered."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {k: v[-1] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                answer = await handler(method, parts.path, query, body)
                if answer is None:
                    break
                status, obj = answer
                out = dumps(obj)
                writer.write(("HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n"
                              % (status, REASONS.get(status, "x"), len(out))).encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=1 << 22)


def free_ports(n):
    sockets = [socket.socket() for _ in range(n)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Client:
    """One keep-alive connection to a server."""

    def __init__(self, host, port):
        self.host, self.port, self.rw = host, port, None

    async def ask(self, method, target, obj=None, timeout=5.0, raw=None):
        """Returns (status, object or None, headers); raises on a failed connection or a timeout."""
        try:
            return await asyncio.wait_for(self._ask(method, target, obj, raw), timeout)
        except BaseException:
            self.close()
            raise

    async def _ask(self, method, target, obj, raw):
        if self.rw is None:
            self.rw = await asyncio.open_connection(self.host, self.port, limit=1 << 22)
        reader, writer = self.rw
        body = raw if raw is not None else (dumps(obj) if obj is not None else b"")
        writer.write(("%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n"
                      % (method, target, self.host, self.port, len(body))).encode() + body)
        await writer.drain()
        first, headers, body = await read_message(reader)
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        kind = headers.get("content-type", "")
        if not body:
            out = None
        elif "json" in kind:
            out = json.loads(body)
        elif "cbor" in kind:
            out = loads(body)
        else:
            out = body.decode()
        return status, out, headers

    def close(self):
        if self.rw is not None:
            self.rw[1].close()
        self.rw = None


# ---------------------------------------------------------------- record

class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# ---------------------------------------------------------------- state service

class State:
    def __init__(self, record):
        self.record = record
        self.keys = {}            # key -> (value, stamp, permit)
        self.epoch = 1
        self.log = []             # (epoch, key)
        self.oldest = 0
        self.leases = {}          # id -> [life s, end]
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.refused = set()      # names of controllers that get 503
        self.down = False
        self.before = None        # async hook(node, method, path, query, body) -> None, or "drop" to answer nothing
        self.after = None         # async hook(node, method, path, query, body, status, answer), before the answer
        self.servers = []

    async def listen(self, node):
        server = await serve(lambda *a: self.handle(node, *a))
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            t = time.monotonic()
            for lease, hold in list(self.leases.items()):
                if self.down:
                    hold[1] = t + hold[0]
                elif t >= hold[1]:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        gone = [k for k, v in self.keys.items() if v[2] == lease]
        if gone:
            self.epoch += 1
            for k in gone:
                del self.keys[k]
                self.note(k)
            self.record("state: lease %d ended, keys removed: %s" % (lease, " ".join(gone)))
            async with self.changed:
                self.changed.notify_all()

    def note(self, key):
        self.log.append((self.epoch, key))
        if len(self.log) > 10000:
            self.oldest = self.log.pop(0)[0]

    async def handle(self, node, method, path, query, body):
        obj = loads(body) if body else None
        if self.before is not None and await self.before(node, method, path, query, obj) == "drop":
            await asyncio.sleep(30)
            return None
        if path != "/watch" and (self.down or node in self.refused):
            return 503, {"error": "unavailable"}
        answer = await self.route(node, method, path, query, obj)
        if self.after is not None and await self.after(node, method, path, query, obj, *answer) == "drop":
            await asyncio.sleep(30)
            return None
        return answer

    async def route(self, node, method, path, query, body):
        if path == "/commit":
            return await self.commit(body)
        if path == "/watch":
            return await self.watch(node, query)
        if path == "/kv":
            return self.list(query)
        if path.startswith("/kv/"):
            key = path[4:]
            if key not in self.keys:
                return 404, {"epoch": self.epoch}
            v, stamp, permit = self.keys[key]
            return 200, {"path": key, "v": v, "stamp": stamp, "permit": permit or None}
        if path == "/holds":
            lease = self.next_lease
            self.next_lease += 1
            life = body["life_ms"] / 1000
            self.leases[lease] = [life, time.monotonic() + life]
            return 200, {"permit": lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if method == "DELETE":
                await self.end_lease(lease)
                return 200, {"permit": lease}
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"permit": lease}
        return 400, {}

    def stamp(self, key):
        return self.keys[key][1] if key in self.keys else 0

    async def commit(self, body):
        failed = [c["path"] for c in body.get("when") or [] if self.stamp(c["path"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        writes = body.get("writes") or []
        for w in writes:
            if w.get("permit") and w["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        if writes:
            self.epoch += 1
        epoch = self.epoch
        for w in writes:
            key = w.get("set") or w["drop"]
            if "set" in w:
                self.keys[key] = (w.get("v"), epoch, w.get("permit") or 0)
            else:
                self.keys.pop(key, None)
            self.note(key)
        if writes:
            async with self.changed:
                self.changed.notify_all()
        return 200, {"epoch": epoch}

    def news(self, prefix, since):
        out, seen = [], set()
        for epoch, key in reversed(self.log):
            if epoch <= since:
                break
            if key in seen or not key.startswith(prefix):
                continue
            seen.add(key)
            if key in self.keys:
                out.append({"set": key, "v": self.keys[key][0], "stamp": self.keys[key][1]})
            else:
                out.append({"drop": key, "stamp": epoch})
        return out[::-1]

    async def watch(self, node, query):
        prefix, since = query.get("under", ""), int(query["from"])
        end = time.monotonic() + min(60000, int(query.get("hold_ms", "0"))) / 1000
        while True:
            blocked = self.down or node in self.refused
            if not blocked:
                if since < self.oldest:
                    return 410, {}
                news = self.news(prefix, since)
                if news or time.monotonic() >= end:
                    return 200, {"epoch": self.epoch, "news": news}
            try:
                async with self.changed:
                    wait = 0.05 if blocked else max(0.001, end - time.monotonic())
                    await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass

    def list(self, query):
        prefix, after = query.get("under", ""), query.get("from", "")
        limit = min(1000, int(query.get("limit", "1000")))
        items, size, truncated = [], 0, False
        for key in sorted(k for k in self.keys if k.startswith(prefix) and k > after):
            item = {"path": key, "v": self.keys[key][0], "stamp": self.keys[key][1]}
            size += len(json.dumps(item))
            if len(items) >= limit or size > 512 * 1024:
                truncated = True
                break
            items.append(item)
        return 200, {"items": items, "truncated": truncated, "epoch": self.epoch}


# ---------------------------------------------------------------- jobs, rules, workers

class Job:
    def __init__(self, body, run_s):
        self.body, self.run_s = body, run_s
        self.id, self.legs = body["id"], body["legs"]
        self.done = set()         # tasks completed
        self.done_at = None       # when the last one completed
        self.starts = {}          # task -> number of times that it came onto a machine


class Worker:
    def __init__(self, world, name, rig, zone, spot):
        self.world, self.name, self.rig, self.zone, self.spot = world, name, rig, zone, spot
        self.type = world.types[rig]
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks = {}           # (job id, task, try) -> dict
        self.images = set()
        self.fetches = {}         # image -> end time
        self.alive, self.gone = True, asyncio.Event()
        self.changed = asyncio.Event()
        self.lease_from = time.monotonic()
        self.target = random.randrange(len(world.nodes)) if world.nodes else 0
        self.address = None
        self.mute = False         # reaches no controller
        self.reports = {}         # status -> count
        self.last_report = b""

    async def start(self):
        self.server = await serve(self.on_direct)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def up(self):
        self.lease_from = time.monotonic()
        self.world.spawn(self.report_loop())
        self.world.spawn(self.lease_loop())

    def report(self):
        self.tick += 1
        legs = []
        for (job, task, number), t in self.tasks.items():
            leg = {"leg": "%s/%d" % (job, task), "try": number, "status": t["status"]}
            if t["status"] == "exited":
                leg["cause"] = t["cause"]
            if t.get("kept"):
                leg["kept"] = True
            legs.append(leg)
        return {"host": self.name, "address": self.address, "rig": self.rig, "yard": self.zone, "standby": self.spot,
                "shift": self.shift, "tick": self.tick, "baton": self.baton, "warning_s": None, "legs": legs}

    async def report_loop(self):
        world, client, at_node = self.world, None, None
        while self.alive:
            node = world.nodes[self.target % len(world.nodes)]
            if client is None or at_node != node:
                if client is not None:
                    client.close()
                host, port = world.serve_on[node].split(":")
                client, at_node = Client(host, int(port)), node
            sent, shift = time.monotonic(), self.shift
            self.changed.clear()
            body = dumps(self.report())
            self.last_report = body
            try:
                if self.mute:
                    await asyncio.sleep(4)
                    raise asyncio.TimeoutError
                status, answer, _ = await client.ask("POST", "/checkin", timeout=4.0, raw=body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status, answer = 0, None
            if not self.alive:
                break
            self.reports[status] = self.reports.get(status, 0) + 1
            if status == 413:
                world.record("%s: report of %d tasks, %d bytes, answered %d" % (self.name, len(self.tasks), len(body), status))
            if status == 421 and answer and answer.get("boss") in world.nodes and answer["boss"] != node:
                self.target = world.nodes.index(answer["boss"])
                await asyncio.sleep(random.uniform(0, 0.5))
                continue
            if status != 200:
                client.close()
                self.target = (self.target + 1) % len(world.nodes)
                await asyncio.sleep(1.0)
                continue
            if answer and answer.get("baton", -1) >= self.baton and shift == self.shift:
                self.baton = answer["baton"]
                self.lease_from = sent
                self.execute(answer.get("orders") or [])
            pause = world.report_s * random.uniform(0.75, 1.25)
            end = sent + pause
            while time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
                left = sent + 0.5 - time.monotonic()
                if left > 0:
                    await asyncio.sleep(left)
                break
        if client is not None:
            client.close()

    async def lease_loop(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if time.monotonic() > self.lease_from + self.world.lease_s:
                self.world.record("%s: lease expired in session %d, %d tasks killed and forgotten"
                                  % (self.name, self.shift, len(self.tasks)))
                self.shift += 1
                self.lease_from = time.monotonic()
                for key in list(self.tasks):
                    self.remove(key)
                self.fetches.clear()
                self.changed.set()

    def remove(self, key):
        t = self.tasks.pop(key, None)
        if t is not None and t.get("on"):
            self.world.left(self, key)

    def free(self, body):
        used = [0.0, 0.0, 0.0]
        for (job, _, _), t in self.tasks.items():
            if t["status"] != "exited":
                b = self.world.jobs[job].body
                for i, f in enumerate(("cores", "cards", "mem_gb")):
                    used[i] += b[f]
        room = (self.type["cores"], self.type["cards"], self.type["mem_gb"])
        need = (body["cores"], body["cards"], body["mem_gb"])
        return all(u + n <= r + 1e-6 for u, n, r in zip(used, need, room))

    def execute(self, orders):
        for o in orders:
            job_id, task = o["leg"].rsplit("/", 1)
            key = (job_id, int(task), o["try"])
            if o["verb"] == "start":
                self.begin(key)
            elif o["verb"] == "stop":
                t = self.tasks.get(key)
                if t is not None and t["status"] != "exited":
                    self.end(key, "stopped")
            elif o["verb"] == "forget":
                t = self.tasks.get(key)
                if t is not None and t["status"] == "exited":
                    del self.tasks[key]
                    self.changed.set()

    def begin(self, key):
        if key in self.tasks:
            return
        self.world.on_order("start", self, key)
        job = self.world.jobs.get(key[0])
        self.changed.set()
        if job is None or key[1] >= job.legs:
            self.tasks[key] = {"status": "exited", "cause": "no_such"}
            return
        for other, t in self.tasks.items():
            if other[:2] == key[:2] and t["status"] != "exited":
                self.tasks[key] = {"status": "exited", "cause": "busy"}
                return
        if not self.free(job.body):
            self.tasks[key] = {"status": "exited", "cause": "full"}
            return
        self.tasks[key] = {"status": "fetching", "session": self.shift}
        self.world.spawn(self.run_task(key, self.tasks[key], job))

    async def run_task(self, key, t, job):
        image = job.body["bundle"]
        if image not in self.images:
            if image not in self.fetches:
                self.fetches[image] = time.monotonic() + job.body["pull_gb"] / self.type["pull_gb_per_s"]
            await asyncio.sleep(max(0, self.fetches[image] - time.monotonic()))
            self.images.add(image)
        if self.tasks.get(key) is not t or t["status"] != "fetching" or not self.alive:
            return
        t["on"] = True
        self.world.arrived(self, key, job)
        self.changed.set()
        if key[1] in job.done:
            self.end(key, "done")
            return
        t["status"] = "running"
        if job.body["shape"] == "standing":
            return
        await asyncio.sleep(job.run_s(key[1]) if callable(job.run_s) else job.run_s)
        if self.tasks.get(key) is t and t["status"] == "running" and self.alive:
            self.world.completed(self, key, job)
            self.end(key, "done")

    def end(self, key, cause):
        t = self.tasks[key]
        t["status"], t["cause"] = "exited", cause
        if t.pop("on", None):
            self.world.left(self, key)
        self.changed.set()

    async def on_direct(self, method, path, query, body):
        if not self.alive:
            return None
        obj = loads(body) if body else {}
        if self.world.before_direct is not None and await self.world.before_direct(self, path, obj) == "drop":
            await asyncio.sleep(30)
            return None
        status = 200
        if path == "/commands":
            if obj.get("baton") is None or obj.get("shift") is None:
                return 400, {}
            if obj["baton"] < self.baton or obj["shift"] != self.shift:
                status = 409
            else:
                if obj["baton"] > self.baton:
                    self.baton = obj["baton"]
                    self.changed.set()
                self.execute(obj.get("orders") or [])
        answer = status, self.report()
        if self.world.after_direct is not None and await self.world.after_direct(self, path, obj, answer) == "drop":
            await asyncio.sleep(30)
            return None
        return answer

    def kill(self):
        self.alive = False
        for key in list(self.tasks):
            self.remove(key)
        self.server.close()


class World:
    """Everything around the controllers, and the controllers."""

    def __init__(self, folder, facts, types, nodes=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.facts, self.types = facts, {t["name"]: t for t in types}
        self.nodes = nodes or ["ramper-%d" % i for i in range(facts["initial_size"])]
        w = facts["workers"]
        self.report_s, self.lease_s, self.cancel_s = w["report_s"], w["lease_s"], w["cancel_s"]
        self.state = State(self.record)
        self.jobs, self.workers, self.hires = {}, {}, {}
        self.machines = {}        # name -> dict of the cloud's list
        self.capacity = None      # function(rig, zone, spot) -> machines that may still be rented
        self.next_machine = 0
        self.boot_s = lambda: random.uniform(1.0, 2.0)  # "at times machines are up within a second or two"
        self.serve_on, self.back, self.external_state, self.external_cloud = {}, {}, {}, {}
        self.processes, self.logs = {}, {}
        self.temp = tempfile.mkdtemp(prefix="nickelramp-review-")
        self.tasks = set()
        self.on_machine = {}      # (job, task) -> list of (worker, try)
        self.broken = []          # rules broken
        self.before_direct = self.after_direct = None
        self.log_level = "info"
        self.clients = {}
        self.peer_proxy = None    # function(node, peer) -> address to put into node's settings
        self.orders = []

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self.record("RULE BROKEN %s: %s" % (rule, text))

    # --- what tasks do
    def on_order(self, verb, worker, key):
        self.record("%s: order %s %s/%d try %d" % (worker.name, verb, *key))

    def arrived(self, worker, key, job):
        places = self.on_machine.setdefault(key[:2], [])
        self.record("%s: task %s/%d try %d is on the machine" % (worker.name, *key))
        if places:
            self.break_rule("ran_twice", "%s/%d try %d starts on %s while on %s"
                            % (*key, worker.name, ", ".join("%s (try %d)" % p for p in places)))
        places.append((worker.name, key[2]))
        job.starts[key[1]] = job.starts.get(key[1], 0) + 1

    def left(self, worker, key):
        places = self.on_machine.get(key[:2], [])
        if (worker.name, key[2]) in places:
            places.remove((worker.name, key[2]))
        self.record("%s: task %s/%d try %d has left" % (worker.name, *key))

    def completed(self, worker, key, job):
        job.done.add(key[1])
        if len(job.done) == job.legs and job.done_at is None:
            job.done_at = time.monotonic()
            self.record("job %s: its last task has completed" % job.id)

    # --- cloud
    async def cloud(self, method, path, query, body):
        obj = loads(body) if body else {}
        if path == "/machine_types":
            return 200, {"rigs": list(self.types.values())}
        if path == "/hosts/return":
            for name in obj["hosts"]:
                worker = self.workers.pop(name, None)
                if worker is not None:
                    worker.kill()
                if self.machines.pop(name, None) is not None:
                    self.record("cloud: %s returned" % name)
            return 200, {}
        if path == "/hosts" and method == "POST":
            if obj["hire"] in self.hires:
                return 200, {"hosts": self.hires[obj["hire"]]}
            count = min(obj["count"], 50)
            if self.capacity is not None:
                count = min(count, self.capacity(obj["rig"], obj["yard"], obj["standby"]))
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(count):
                self.next_machine += 1
                name = "i-%06d" % self.next_machine
                names.append(name)
                self.spawn(self.boot(name, obj["rig"], obj["yard"], obj["standby"]))
                self.machines[name] = {"id": name, "rig": obj["rig"], "yard": obj["yard"], "standby": obj["standby"],
                                       "status": "booting", "born": time.monotonic(), "address": None}
            self.hires[obj["hire"]] = names
            self.record("cloud: hired %s (%s, %s, standby %s)" % (" ".join(names), obj["rig"], obj["yard"], obj["standby"]))
            return 200, {"hosts": names}
        if path == "/hosts":
            lag = self.facts["cloud"]["list_lag_s"]
            limit, after = min(500, int(query.get("limit", "500"))), query.get("from", "")
            out, t = [], time.monotonic()
            for name in sorted(self.machines):
                m = self.machines[name]
                if name > after and t - m["born"] >= lag:
                    out.append({"id": name, "address": m["address"], "rig": m["rig"], "yard": m["yard"],
                                "standby": m["standby"], "status": m["status"], "age_s": t - m["born"]})
            return 200, {"hosts": out[:limit], "truncated": len(out) > limit}
        return 400, {}

    async def boot(self, name, rig, zone, spot):
        worker = Worker(self, name, rig, zone, spot)
        await worker.start()
        self.machines[name]["address"] = worker.address
        await asyncio.sleep(self.boot_s())
        if name not in self.machines:
            return
        self.machines[name]["status"] = "running"
        self.workers[name] = worker
        self.record("cloud: %s is up" % name)
        worker.up()

    # --- controllers
    async def begin(self):
        for s in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(s, self.interrupted)
        self.spawn(self.state.run())
        ports = free_ports(2 * len(self.nodes))
        for i, node in enumerate(self.nodes):
            self.serve_on[node] = "127.0.0.1:%d" % ports[2 * i]
            self.back[node] = "127.0.0.1:%d" % ports[2 * i + 1]
            self.external_state[node] = await self.state.listen(node)
            server = await serve(self.cloud)
            self.external_cloud[node] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def interrupted(self):
        self.end()
        os._exit(2)

    def zone_of(self, node):
        return self.facts["zones"][self.nodes.index(node) % len(self.facts["zones"])]

    def start(self, node):
        with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as f:
            command = re.search(r'^run = "(.*)"$', f.read(), re.M).group(1).split()
        peers = []
        for peer in self.nodes:
            if peer != node:
                addr = self.peer_proxy(node, peer) if self.peer_proxy else self.back[peer]
                peers.append({"host_name": peer, "site": self.zone_of(peer), "addr": addr})
        settings = {"host_name": node, "site": self.zone_of(node), "serve_on": self.serve_on[node],
                    "back": self.back[node], "peers": peers,
                    "external": {"cloud": self.external_cloud[node], "state": self.external_state[node]},
                    "facts": self.facts}
        path = os.path.join(self.temp, node + ".json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(settings, f)
        log = open(os.path.join(self.temp, node + ".log"), "ab")
        pid = os.posix_spawn(os.path.join(ROOT, command[0]), command + [path], dict(os.environ, LOG_LEVEL=self.log_level),
                             file_actions=[(os.POSIX_SPAWN_DUP2, log.fileno(), 1), (os.POSIX_SPAWN_DUP2, log.fileno(), 2)])
        log.close()
        self.processes[node] = pid
        self.record("%s: started" % node)

    def signal(self, node, number):
        if self.processes.get(node):
            os.kill(self.processes[node], number)
            self.record("%s: signal %s" % (node, signal.Signals(number).name))

    def kill(self, node):
        if self.processes.get(node):
            os.kill(self.processes[node], signal.SIGKILL)
            os.waitpid(self.processes[node], 0)
            self.processes[node] = 0
            self.record("%s: killed" % node)

    def ended(self):
        """Controllers that ended by themselves: (name, wait status)."""
        out = []
        for node, pid in self.processes.items():
            if pid:
                done, status = os.waitpid(pid, os.WNOHANG)
                if done:
                    self.processes[node] = 0
                    out.append((node, status))
                    self.record("%s: ended by itself, wait status %d" % (node, status))
        return out

    def leader(self):
        return (self.state.keys.get("lead/seat") or ({},))[0]

    async def ask(self, node, method, target, obj=None, timeout=5.0, quiet=False):
        """One request on a new connection; (0, None) if there is no answer."""
        host, port = self.serve_on[node].split(":")
        client = Client(host, int(port))
        try:
            status, answer, _ = await client.ask(method, target, obj, timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, answer = 0, None
        client.close()
        if not quiet:
            self.record("user -> %s: %s %s: %d %s" % (node, method, target, status, json.dumps(answer)))
        return status, answer

    async def ready(self, nodes=None, timeout=30.0):
        end = time.monotonic() + timeout
        for node in nodes or self.nodes:
            while (await self.ask(node, "GET", "/ready", timeout=1.0, quiet=True))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun("%s is not ready" % node)
                await asyncio.sleep(0.1)

    async def submit(self, body, run_s, nodes=None, give_up=60.0):
        """Submits like a user: repeated until accepted. Returns the last status."""
        job = self.jobs.setdefault(body["id"], Job(body, run_s))
        job.submitted_at = time.monotonic()
        end, i, nodes = time.monotonic() + give_up, 0, nodes or self.nodes
        while True:
            status, _ = await self.ask(nodes[i % len(nodes)], "POST", "/work", body)
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status
            i += 1
            await asyncio.sleep(1.0)

    def end(self):
        for node, pid in list(self.processes.items()):
            if pid:
                try:
                    os.kill(pid, signal.SIGKILL)
                    os.waitpid(pid, 0)
                except (ProcessLookupError, ChildProcessError):
                    pass
                self.processes[node] = 0
        if os.environ.get("KEEP"):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


class CannotRun(Exception):
    pass


def job_body(number, **fields):
    body = {"id": "job-%06d" % number, "jobclass": "sweep", "crew": "equipo-despacho", "shape": "sweep", "urgency": "normal",
            "legs": 1, "cores": 1.0, "cards": 0.0, "mem_gb": 1.0, "bundle": "img-01", "pull_gb": 0.2, "rigs": None,
            "yard": None, "one_zone": False, "scatter": False, "standby": False, "guess_s": 10.0, "save_every_s": 0.0,
            "save_cost_s": 0.0, "due_s": None}
    body.update(fields)
    return body


def mendoza_facts(**changes):
    """Settings with the figures of subte-carga-mendoza."""
    facts = {"initial_size": 3, "zones": ["godoy-cruz", "lujan-cuyo", "san-juan-nube"],
             "teams": [{"name": "equipo-despacho", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
             "objectives": [{"kind": "wait", "class": "despacho-serve", "within_s": 8.0, "share": 0.88},
                            {"kind": "finished", "class": "carga-backfill", "within_s": 350.0, "share": 0.97}],
             "workers": {"report_s": 1.5, "lease_s": 12.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0, "cancel_s": 37.0},
             "state": {"rps": 80.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
             "cloud": {"rps": 3.0, "list_lag_s": 6.0},
             "limits": {"cpu": 0.04, "mem_mb": 40.0, "fd_limit": 500}, "time_bound_ms": 250.0}
    facts.update(changes)
    return facts


def mendoza_types():
    return [{"name": "cordillera-64", "cores": 64.0, "cards": 0.0, "mem_gb": 256.0, "local_gb": 80.0,
             "pull_gb_per_s": 0.2, "hourly": 4.03, "low_price": 1.73, "boot_s": 40.0,
             "yards": ["godoy-cruz", "lujan-cuyo", "san-juan-nube"]}]


def tsba_facts(**changes):
    """Settings with the figures of tsba-ramp-ops, with three controllers."""
    facts = {"initial_size": 3, "zones": ["hobart"],
             "teams": [{"name": "board-stewards", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 24.0},
                       {"name": "glitch-hunters", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
             "objectives": [{"kind": "finished", "class": "archive-retime", "within_s": 400.0, "share": 0.8}],
             "workers": {"report_s": 3.0, "lease_s": 45.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 65.0},
             "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 32.0, "txn_ops": 32},
             "cloud": {"rps": 4.0, "list_lag_s": 10.0},
             "limits": {"cpu": 0.24, "mem_mb": 200.0, "fd_limit": 4000}, "time_bound_ms": 1000.0}
    facts.update(changes)
    return facts


def tsba_types():
    return [{"name": "wombat-32", "cores": 32.0, "cards": 4.0, "mem_gb": 256.0, "local_gb": 120.0,
             "pull_gb_per_s": 1.0, "hourly": 10.9, "low_price": 4.29, "boot_s": 25.0, "yards": ["hobart"]}]


def main(case, folder):
    """Runs the coroutine case(world, trouble). Exits with 1 if a rule was broken, 0 if none was, 2 if it cannot run."""

    async def run():
        world = None
        try:
            world = await asyncio.wait_for(case(os.environ.get("TROUBLE", "1") != "0"), 117)
        except (CannotRun, asyncio.TimeoutError) as e:
            print("cannot run: %r" % e)
            return 2
        finally:
            for w in Worlds:
                w.end()
        for rule, text in world.broken:
            print("broken: %s: %s" % (rule, text))
        return 1 if world.broken else 0

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)


Worlds = []


async def world(folder, facts, types, **rest):
    w = World(folder, facts, types, **rest)
    Worlds.append(w)
    await w.begin()
    return w
