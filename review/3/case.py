import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standin import *  # noqa: E402,F403

MACHINES, PER_MACHINE = 75, 128
SILENT_S = 60.0


async def case(trouble):
    w = await world(HERE, tsba_facts(), tsba_types())
    w.capacity = lambda rig, zone, spot: 0 if spot else MACHINES - len(w.machines)
    for node in w.nodes:
        w.start(node)
    await w.ready()
    # The class archive-retime of tsba-ramp-ops: an array of 25,000 tasks of a quarter of a core.
    body = job_body(1, jobclass="archive-retime", crew="glitch-hunters", urgency="best_effort", legs=25000, cores=0.25,
                    mem_gb=1.8, pull_gb=0.5, guess_s=600.0)
    if await w.submit(body, 600.0) not in (200, 201):
        raise CannotRun("the array is not accepted")
    end, live = time.monotonic() + 32, 0
    while live < MACHINES * PER_MACHINE * 0.95:
        if time.monotonic() > end:
            raise CannotRun("only %d tasks run" % live)
        await asyncio.sleep(0.5)
        live = sum(len(x.tasks) for x in w.workers.values())
    w.record("%d tasks of the job are on machines" % live)

    answered = {node: time.monotonic() for node in w.nodes}
    longest = {node: 0.0 for node in w.nodes}
    stop = time.monotonic() + SILENT_S + 10

    async def probe(node):
        while time.monotonic() < stop:
            status, _ = await w.ask(node, "GET", "/ready", timeout=1.0, quiet=True)
            t = time.monotonic()
            if status:
                if t - answered[node] > 5:
                    w.record("%s answers again after %.0f s" % (node, t - answered[node]))
                answered[node] = t
            longest[node] = max(longest[node], t - answered[node])
            await asyncio.sleep(1.0)

    async def cancel():
        i = 0
        while trouble:
            status, _ = await w.ask(w.nodes[i % 3], "POST", "/work/job-000001/abort")
            i += 1
            if status == 200:
                return
            await asyncio.sleep(1.0)

    await asyncio.gather(cancel(), *(probe(node) for node in w.nodes))
    if w.ended():
        w.record("a controller ended by itself")
    for node in w.nodes:
        w.record("%s: longest time without an answer to /ready: %.0f s" % (node, longest[node]))
        if longest[node] >= SILENT_S:
            w.break_rule("process_hangs", "%s answered nothing for %.0f s after the job was cancelled; nobody had stopped "
                         "it, and its process is %s" % (node, longest[node], "alive" if w.processes[node] else "gone"))
    return w


main(case, HERE)
