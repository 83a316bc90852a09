"""A small deployment on loopback: real controllers among the stand-ins of this folder, and what can be
seen from outside: what runs where, what users were told, and which rules of PROTOCOL were broken."""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

import cloud
import state
import wirehttp
import worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

RIG = {"name": "colectivo-48", "cores": 48.0, "cards": 8.0, "mem_gb": 288.0, "local_gb": 120.0,
       "pull_gb_per_s": 5.0, "hourly": 15.3, "low_price": 5.99, "boot_s": 2.0,
       "yards": ["palermo", "rosario-nube"]}

FACTS = {
    "initial_size": 3,
    "zones": ["palermo", "rosario-nube"],
    "teams": [
        {"name": "equipo-rutas", "cpus": 0.0, "cpus_max": 0.0, "gpus": 72.0, "gpus_max": 224.0},
        {"name": "equipo-modelos", "cpus": 0.0, "cpus_max": 0.0, "gpus": 48.0, "gpus_max": 500.0},
        {"name": "equipo-feeds", "cpus": 0.0, "cpus_max": 0.0, "gpus": 120.0, "gpus_max": 368.0}],
    "objectives": [
        {"kind": "wait", "class": "viaje-serve", "within_s": 5.0, "share": 0.88},
        {"kind": "finished", "class": "tramo-sweep", "within_s": 80.0, "share": 0.88},
        {"kind": "wait", "class": "red-fit", "within_s": 20.0, "share": 0.82}],
    "workers": {"report_s": 3.0, "lease_s": 31.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0,
                "cancel_s": 51.0},
    "state": {"rps": 250.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 5.0, "list_lag_s": 3.0},
    "limits": {"cpu": 0.12, "mem_mb": 104.0, "fd_limit": 1800},
    "time_bound_ms": 1000.0,
}

JOB = {"jobclass": "tramo-sweep", "crew": "equipo-rutas", "shape": "sweep", "urgency": "normal",
       "legs": 4, "cores": 5.0, "cards": 1.0, "mem_gb": 27.0, "bundle": "img-1", "pull_gb": 1.0,
       "rigs": None, "yard": None, "one_zone": False, "scatter": False, "standby": False,
       "guess_s": 10.0, "save_every_s": 0.0, "save_cost_s": 0.0, "due_s": None}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class World:
    json_bytes = staticmethod(state.json_bytes)

    def __init__(self, record_path, facts=None, rigs=None, capacity=None, names=("ramper-0", "ramper-1", "ramper-2")):
        self.facts = json.loads(json.dumps(facts or FACTS))
        self.rig_list = rigs or [dict(RIG)]
        self.rigs = {r["name"]: r for r in self.rig_list}
        self.names = list(names)
        self.record = open(record_path, "w", encoding="utf-8")
        self.directory = tempfile.mkdtemp(prefix="nickelramp-review-")
        self.jobs, self.run_s, self.completed, self.gangs = {}, {}, set(), {}
        self.on_machine = {}            # (job, leg) -> machine
        self.on_count = {}              # job -> tasks on machines
        self.cards_used = {}            # team -> cards in use
        self.quiet = set()              # jobs of which single tasks are not recorded
        self.completions = {}           # job -> count
        self.cancel_told = {}           # job -> time
        self.violations = []
        self.workers = {}
        self.started_at = None
        self.starts = 0
        self.state = self.cloud = None
        self.capacity = capacity
        self.addresses, self.backs, self.processes, self.settings = {}, {}, {}, {}
        self.process_logs = {}
        self.proxies = {}

    # --- record

    def at(self):
        now = asyncio.get_running_loop().time()
        if self.started_at is None:
            self.started_at = now
        return now - self.started_at

    def log(self, who, what, **fields):
        line = f"{self.at():8.3f} {who}: {what}"
        if fields:
            line += " " + json.dumps(fields, default=str)
        self.record.write(line + "\n")
        self.record.flush()

    def violate(self, rule, **fields):
        self.violations.append((rule, fields))
        self.log("RULE BROKEN", rule, **fields)

    # --- what runs where

    def started(self, machine, key):
        self.starts += 1
        if key[0] in self.quiet:
            return
        self.log("worker", "start", host=machine["id"], leg=f"{key[0]}/{key[1]}", attempt=key[2])
        told = self.cancel_told.get(key[0])
        if told is not None and self.at() - told > 0:
            self.log("worker", "start of a cancelled job", leg=f"{key[0]}/{key[1]}")

    def arrived(self, machine, task):
        key = (task.job["id"], task.leg)
        if key in self.on_machine:
            self.violate("ran_twice", leg=key, on=self.on_machine[key], and_on=machine["id"])
        self.on_machine[key] = machine["id"]
        job = task.job
        told = self.cancel_told.get(job["id"])
        if told is not None and self.at() - told > self.facts["workers"]["cancel_s"]:
            self.violate("ran_cancelled", leg=key)
        team = next((t for t in self.facts["teams"] if t["name"] == job["crew"]), None)
        self.on_count[job["id"]] = self.on_count.get(job["id"], 0) + 1
        used = self.cards_used[job["crew"]] = self.cards_used.get(job["crew"], 0.0) + job["cards"]
        if team and team["gpus_max"] > 0 and used > team["gpus_max"] + 1e-6:
            self.violate("quota", team=job["crew"], used=used)
        if job["yard"] and job["yard"] != machine["yard"] or \
                job["rigs"] and machine["rig"] not in job["rigs"] or \
                machine["standby"] and not job["standby"]:
            self.violate("wrong_place", leg=key, on=machine["id"])
        if job["one_zone"]:
            zones = {self.workers[h].machine["yard"] for (j, _), h in self.on_machine.items()
                     if j == job["id"] and h in self.workers}
            if len(zones) > 1:
                self.violate("wrong_place", leg=key, zones=sorted(zones))

    def left(self, machine, task):
        key = (task.job["id"], task.leg)
        if self.on_machine.get(key) == machine["id"]:
            del self.on_machine[key]
            self.on_count[key[0]] -= 1
            self.cards_used[task.job["crew"]] -= task.job["cards"]

    def complete(self, job, leg):
        if (job, leg) not in self.completed:
            self.completed.add((job, leg))
            self.completions[job] = self.completions.get(job, 0) + 1

    def log_task(self, machine, task):
        if task.job["id"] in self.quiet:
            return
        self.log("worker", "exit", host=machine["id"], leg=f"{task.job['id']}/{task.leg}",
                 attempt=task.attempt, cause=task.cause)

    # --- controllers

    async def start(self, start_controllers=True):
        self.at()
        zones = self.facts["zones"]
        self.state = state.State(self.facts, self.log)
        if self.capacity is None:
            self.capacity = {(r["name"], y, False): 20 for r in self.rig_list for y in r["yards"]}
        self.cloud = cloud.Cloud(self.facts, self.rig_list, self.capacity, self._boot, self._stop, self.log)
        loop = asyncio.get_running_loop()
        self.background = [loop.create_task(self._expire())]
        for name in self.names:
            self.addresses[name] = f"127.0.0.1:{free_port()}"
            self.backs[name] = f"127.0.0.1:{free_port()}"
        for i, name in enumerate(self.names):
            settings = {
                "host_name": name, "site": zones[i % len(zones)],
                "serve_on": self.addresses[name], "back": self.backs[name],
                "peers": [{"host_name": p, "site": zones[k % len(zones)], "addr": self.peer_address(name, p)}
                          for k, p in enumerate(self.names) if p != name],
                "external": {"cloud": f"127.0.0.1:{await self.cloud.listen(name)}",
                             "state": f"127.0.0.1:{await self.state.listen(name)}"},
                "facts": self.facts}
            path = os.path.join(self.directory, name + ".json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(settings, file)
            self.settings[name] = path
        if start_controllers:
            for name in self.names:
                self.run(name)

    def peer_address(self, name, peer):
        return self.proxies.get((name, peer), self.backs[peer])

    def run(self, name):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            command = tomllib.load(file)["run"].split()
        log = open(os.path.join(self.directory, name + ".log"), "a", encoding="utf-8")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("REVIEW_LOG_LEVEL", "info"))
        self.processes[name] = subprocess.Popen(
            command + [self.settings[name]], cwd=ROOT, stdout=log, stderr=log, env=environment)
        self.log("test", "controller started", name=name)

    def signal(self, name, number):
        self.log("test", "signal", name=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    def check_processes(self):
        for name, process in self.processes.items():
            code = process.poll()
            if code is not None and code != -signal.SIGKILL:
                self.violate("ended", controller=name, code=code)

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            self.state.expire()
            now = self.at()
            for job, told in self.cancel_told.items():
                if now - told > self.facts["workers"]["cancel_s"] and any(j == job for j, _ in self.on_machine):
                    self.violate("ran_cancelled", job=job)
                    self.cancel_told[job] = now + 1e9

    async def _boot(self, machine):
        w = worker.Worker(machine, self, list(self.addresses.items()), self.facts, len(self.workers))
        self.workers[machine["id"]] = w
        self.log("worker", "up", host=machine["id"], yard=machine["yard"])
        await w.start()

    def _stop(self, machine):
        if machine["id"] in self.workers:
            self.workers[machine["id"]].stop()

    async def close(self):
        for task in self.background:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for w in self.workers.values():
            w.stop()
        self.state.close()
        self.cloud.close()
        for name in self.names:
            path = os.path.join(self.directory, name + ".log")
            if os.environ.get("REVIEW_KEEP"):
                shutil.copy(path, os.environ["REVIEW_KEEP"])
        shutil.rmtree(self.directory, ignore_errors=True)
        self.record.close()

    # --- users

    def job(self, number, run_s=10.0, **fields):
        job = dict(JOB, id=f"job-{number:06}", **fields)
        self.jobs[job["id"]] = job
        self.run_s[job["id"]] = run_s
        return job

    async def ask(self, name, method, target, value=None, timeout=5.0):
        client = wirehttp.Client(self.addresses[name])
        answer = await client.request(method, target, value, timeout)
        client.close()
        self.log("user", f"{method} {target} at {name}", status=answer[0] if answer else None,
                 answer=answer[1] if answer else None)
        return answer

    async def ready(self, timeout=20.0):
        until = self.at() + timeout
        for name in self.names:
            while True:
                answer = await wirehttp.Client(self.addresses[name]).request("GET", "/ready", timeout=1.0)
                if answer and answer[0] == 200:
                    break
                if self.at() > until:
                    raise RuntimeError(f"{name} is not ready")
                await asyncio.sleep(0.2)

    async def leader(self):
        for name in self.names:
            if self.processes[name].poll() is not None:
                continue
            client = wirehttp.Client(self.addresses[name])
            try:
                await asyncio.wait_for(self._raw_status(client), 2)
            except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
                continue
            if client.page and client.page.get("leader"):
                return client.page["leader"]
        return None

    @staticmethod
    async def _raw_status(client):
        client.page = None
        _, body = await client._request("GET", "/admin/status", b"")
        client.page = json.loads(body)
        client.close()

    async def submit(self, job, at=None, tries=20):
        """Repeats the submission until it is accepted. Returns the last status."""
        for i in range(tries):
            name = at or self.names[i % len(self.names)]
            answer = await self.ask(name, "POST", "/work", job)
            if answer and answer[0] in (200, 201, 400, 422):
                return answer[0]
            await asyncio.sleep(1.0)
        return None

    async def poll(self, job_id, name=None):
        return await self.ask(name or self.names[0], "GET", f"/work/{job_id}", timeout=2.0)
