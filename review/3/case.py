import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standin import *  # noqa: E402,F403

MACHINES = 40
WAITING_S = 90.0    # hunt/LATER: "no job is left waiting for 90 s while a machine that fits has room"


async def case(trouble):
    # The figures of tsba-ramp-hunt, with three controllers in one zone.
    facts = tsba_facts(workers={"report_s": 8.0, "lease_s": 45.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 65.0},
                       limits={"cpu": 0.216, "mem_mb": 188.0, "fd_limit": 3642})
    w = await world(HERE, facts, tsba_types())
    w.capacity = lambda rig, zone, spot: 0 if spot else MACHINES - len(w.machines)
    w.boot_s = lambda: 1.5      # all are up at once, "within a second or two"
    lost = []

    async def after(node, method, path, query, body, status, answer):
        """The disruption: one transaction is carried out, and its answer is lost."""
        if path != "/commit" or lost or status != 200:
            return None
        shards = [x["set"] for x in body["writes"] if x.get("set", "").startswith("block/")]
        if len(shards) < 2:
            return None
        lost.append(time.monotonic())
        w.record("state: %s's transaction writes %s, carried out; %s"
                 % (node, " ".join(shards), "its answer is lost" if trouble else "answered"))
        return "drop" if trouble else None

    w.state.after = after
    for node in w.nodes:
        w.start(node)
    await w.ready()
    # An array with a task for each machine: 30 of 32 cores. The cloud has no further machine.
    body = job_body(1, jobclass="archive-retime", crew="glitch-hunters", legs=MACHINES, cores=30.0, mem_gb=100.0,
                    guess_s=600.0)
    if await w.submit(body, 600.0) not in (200, 201):
        raise CannotRun("the array is not accepted")

    waiting_since, longest, idle = None, 0.0, []
    begin = time.monotonic()
    while time.monotonic() < begin + 107 and longest < WAITING_S + 1:
        await asyncio.sleep(0.5)
        if w.ended():
            raise CannotRun("a controller ended")
        if time.monotonic() > begin + 20 and not lost:
            raise CannotRun("no transaction wrote two shards")
        idle = [x for x in w.workers.values() if x.alive and not x.tasks and x.free(body)]
        if w.jobs["job-000001"].starts and len(w.jobs["job-000001"].starts) == MACHINES:
            break
        waiting = bool(idle) and (not trouble or bool(lost))
        waiting_since = (waiting_since or time.monotonic()) if waiting else None
        longest = max(longest, time.monotonic() - waiting_since) if waiting_since else longest
    status, answer = await w.ask(w.nodes[0], "GET", "/work/job-000001", timeout=2.0)
    for x in idle:
        w.record("%s: up, empty, reports answered: %s" % (x.name, x.reports))
    w.record("tasks started: %d of %d; longest time that the job waited while a machine had room: %.0f s"
             % (len(w.jobs["job-000001"].starts), MACHINES, longest))
    if longest >= WAITING_S:
        w.break_rule("left_waiting", "%d tasks of job-000001 were not started in %.0f s, while %d machines that fit, up and "
                     "answered, were empty" % (MACHINES - len(w.jobs["job-000001"].starts), longest, len(idle)))
    return w


main(case, HERE)
