"""Stand-in for the state service, as PROTOCOL ("Controller nodes -> state service") describes it.

Each controller gets a port of its own, so that a fault can concern one of them. `refuse` holds the
names of the controllers that get 503; `down` is an outage for all.
"""
import asyncio
import json

import wirehttp


def json_bytes(value):
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class State:
    def __init__(self, facts, log):
        self.limits = facts["state"]
        self.log = log
        self.keys = {}      # key -> [value, stamp, permit]
        self.epoch = 0
        self.changes = []   # (stamp, item)
        self.holds = {}     # id -> [life_s, expires_at]
        self.next_hold = 1
        self.down = False
        self.refuse = set()
        self.on_commit = None   # called as on_commit(who, body) before execution; may return a delay
        self.changed = asyncio.Event()
        self.servers = []
        self.tokens = {"rps": self.limits["rps"], "write_rps": self.limits["write_rps"]}
        self.refilled = 0.0

    async def listen(self, who):
        server = wirehttp.Server(lambda *request: self._handle(who, *request))
        self.servers.append(server)
        return await server.listen()

    def close(self):
        for server in self.servers:
            server.close()

    def now(self):
        return asyncio.get_running_loop().time()

    def _take(self, kind, count):
        now = self.now()
        for name in self.tokens:
            rate = self.limits[name]
            self.tokens[name] = min(rate, self.tokens[name] + (now - self.refilled) * rate)
        self.refilled = now
        if self.tokens[kind] < count:
            return False
        self.tokens[kind] -= count
        return True

    def _bump(self):
        self.epoch += 1
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def _record(self, item):
        self.changes.append((self.epoch, item))
        del self.changes[:-10_000]

    def expire(self):
        """Ends holds whose time is over. Called often."""
        now = self.now()
        for number, hold in list(self.holds.items()):
            if self.down:
                hold[1] = now + hold[0]
            elif now >= hold[1]:
                self._end_hold(number)

    def _end_hold(self, number):
        if self.holds.pop(number, None) is None:
            return
        attached = [key for key, entry in self.keys.items() if entry[2] == number]
        if attached:
            self._bump()
        for key in attached:
            del self.keys[key]
            self._record({"drop": key, "stamp": self.epoch})

    def _item(self, key):
        value, stamp, permit = self.keys[key]
        return {"path": key, "v": value, "stamp": stamp, "permit": permit or None}

    async def _handle(self, who, method, path, query, body):
        if path == "/watch":
            return await self._watch(who, query)
        if self.down or who in self.refuse:
            return 503, {"error": "trouble"}
        if not self._take("rps", 1):
            return 429, {}
        value = wirehttp.cbor.decode(body) if body else None
        if path == "/commit":
            if self.on_commit:
                delay = self.on_commit(who, value)
                if delay:
                    await asyncio.sleep(delay)
            return self._commit(who, value)
        if path == "/holds":
            number, self.next_hold = self.next_hold, self.next_hold + 1
            life = value["life_ms"] / 1000
            self.holds[number] = [life, self.now() + life]
            return 200, {"permit": number}
        if path.startswith("/holds/"):
            number = int(path.split("/")[2])
            if method == "DELETE":
                self._end_hold(number)
                return 200, {}
            if number not in self.holds:
                return 404, {}
            self.holds[number][1] = self.now() + self.holds[number][0]
            return 200, {"permit": number}
        if path == "/kv":
            return self._list(query)
        key = path[len("/kv/"):]
        if key not in self.keys:
            return 404, {"epoch": self.epoch}
        return 200, self._item(key)

    def _list(self, query):
        limit = min(1000, int(query.get("limit", 1000)))
        start = query.get("from", "")
        keys = sorted(k for k in self.keys if k.startswith(query.get("under", "")) and k > start)
        items, size, truncated = [], 0, False
        for key in keys:
            item = self._item(key)
            size += json_bytes(item)
            if len(items) >= limit or (items and size > 512 * 1024):
                truncated = True
                break
            items.append(item)
        return 200, {"items": items, "truncated": truncated, "epoch": self.epoch}

    async def _watch(self, who, query):
        prefix, since = query.get("under", ""), int(query.get("from", 0))
        until = self.now() + min(60_000, int(query.get("hold_ms", 0))) / 1000
        while True:
            unserved = self.down or who in self.refuse
            if not unserved:
                if self.changes and since < self.changes[0][0] - 1 and len(self.changes) >= 10_000:
                    return 410, {}
                news = [item for stamp, item in self.changes
                        if stamp > since and (item.get("set") or item.get("drop")).startswith(prefix)]
                if news or self.now() >= until:
                    return 200, {"epoch": self.epoch, "news": news}
            left = 0.1 if unserved else max(0.001, until - self.now())
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, who, body):
        when, writes = body.get("when") or [], body.get("writes") or []
        limits = self.limits
        too_long = [w["set"] for w in writes
                    if "set" in w and json_bytes(w["v"]) > limits["value_kb"] * 1024]
        if (too_long or len(writes) > limits["txn_ops"] or len(when) > 4 * limits["txn_ops"]
                or json_bytes(body) > 64 * 1024):
            self.log("state", "commit refused as malformed", by=who, too_long=too_long)
            return 400, {"error": "over a limit"}
        if writes and not self._take("write_rps", len(writes)):
            return 429, {}
        failed = [c["path"] for c in when
                  if (self.keys[c["path"]][1] if c["path"] in self.keys else 0) != c["stamp"]]
        if any(w.get("permit") and w["permit"] not in self.holds for w in writes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self._bump()
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = [write["v"], self.epoch, write.get("permit") or 0]
                self._record({"set": write["set"], "v": write["v"], "stamp": self.epoch})
            else:
                self.keys.pop(write["drop"], None)
                self._record({"drop": write["drop"], "stamp": self.epoch})
        return 200, {"epoch": self.epoch}
