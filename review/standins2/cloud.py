"""Stand-in for the cloud (PROTOCOL, "Controller nodes -> cloud")."""
import asyncio

import wirehttp


class Cloud:
    def __init__(self, facts, rigs, capacity, boot, stop, log):
        """`capacity`: (rig, yard, standby) -> machines. `boot(machine)` is called when a machine is
        up, `stop(machine)` when it is returned."""
        self.facts, self.rigs, self.log = facts, rigs, log
        self.capacity, self.boot, self.stop = dict(capacity), boot, stop
        self.hires, self.machines, self.number = {}, {}, 0
        self.servers, self.tokens, self.refilled = [], 2 * facts["cloud"]["rps"], 0.0
        self.down = False

    async def listen(self, who):
        server = wirehttp.Server(lambda *request: self._handle(who, *request))
        self.servers.append(server)
        return await server.listen()

    def close(self):
        for server in self.servers:
            server.close()

    def now(self):
        return asyncio.get_running_loop().time()

    async def _handle(self, who, method, path, query, body):
        rate = self.facts["cloud"]["rps"]
        self.tokens = min(2 * rate, self.tokens + (self.now() - self.refilled) * rate)
        self.refilled = self.now()
        if self.tokens < 1:
            return 429, {}
        self.tokens -= 1
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/machine_types":
            return 200, {"rigs": self.rigs}
        if method == "GET":
            return self._list(query)
        value = wirehttp.cbor.decode(body)
        if path == "/hosts/return":
            for name in value["hosts"]:
                machine = self.machines.get(name)
                if machine and machine["gone_at"] is None:
                    machine["gone_at"] = self.now()
                    kind = (machine["rig"], machine["yard"], machine["standby"])
                    self.capacity[kind] = self.capacity.get(kind, 0) + 1
                    self.log("cloud", "returned", host=name, by=who)
                    self.stop(machine)
            return 200, {}
        return self._hire(who, value)

    def _hire(self, who, value):
        if value["hire"] in self.hires:
            return 200, {"hosts": self.hires[value["hire"]]}
        kind = (value["rig"], value["yard"], value["standby"])
        count = min(50, value["count"], self.capacity.get(kind, 0))
        if count == 0:
            return 503, {"error": "no capacity"}
        self.capacity[kind] -= count
        names = []
        boot_s = next(r["boot_s"] for r in self.rigs if r["name"] == kind[0])
        for _ in range(count):
            self.number += 1
            name = f"i-{self.number:06}"
            names.append(name)
            machine = {"id": name, "address": None, "rig": kind[0], "yard": kind[1],
                       "standby": kind[2], "hired_at": self.now(),
                       "up_at": self.now() + boot_s, "gone_at": None}
            self.machines[name] = machine
            asyncio.get_running_loop().create_task(self._boot(machine, boot_s))
        self.hires[value["hire"]] = names
        self.log("cloud", "hired", hire=value["hire"], hosts=names, by=who)
        return 200, {"hosts": names}

    async def _boot(self, machine, boot_s):
        await asyncio.sleep(boot_s)
        if machine["gone_at"] is None:
            await self.boot(machine)

    def _list(self, query):
        at = self.now() - self.facts["cloud"]["list_lag_s"]
        start, limit = query.get("from", ""), min(500, int(query.get("limit", 500)))
        hosts = []
        for name in sorted(self.machines):
            m = self.machines[name]
            if name <= start or m["hired_at"] > at or (m["gone_at"] is not None and m["gone_at"] <= at):
                continue
            hosts.append({"id": name, "address": m["address"] or "127.0.0.1:9", "rig": m["rig"],
                          "yard": m["yard"], "standby": m["standby"],
                          "status": "running" if m["up_at"] <= at else "booting",
                          "age_s": at - m["hired_at"]})
        return 200, {"hosts": hosts[:limit], "truncated": len(hosts) > limit}
