import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standin import *  # noqa: E402,F403

WAITING_S = 90.0    # PROTOCOL/LATER: "no job is left waiting for 90 s while a machine that fits has room"


def service(number):
    return job_body(number, jobclass="verify-live", crew="board-stewards", shape="standing", urgency="prod", cores=5.0,
                    cards=1.0, mem_gb=38.0, guess_s=0.0)


def array(number):
    return job_body(number, jobclass="archive-retime", crew="glitch-hunters", cores=0.25, mem_gb=1.8, guess_s=4.0)


def lineage(steps):
    """Where the input of a job comes from: each step names the one before it."""
    step = None
    for n in range(steps):
        step = {"step": "clip-%02d" % n, "digest": "%064x" % (n * 2654435761), "from": step}
    return step


async def case(trouble):
    w = await world(HERE, tsba_facts(), tsba_types())
    w.capacity = lambda rig, zone, spot: 0 if spot else 2 - len(w.machines)
    for node in w.nodes:
        w.start(node)
    await w.ready()

    # A service keeps a machine up that has 27 free cores; an array of one task shows that work runs.
    if await w.submit(service(1), None) not in (200, 201):
        raise CannotRun("the service is not accepted")
    if await w.submit(array(2), 1.0) not in (200, 201):
        raise CannotRun("the first array is not accepted")
    end = time.monotonic() + 20
    while (w.jobs["job-000002"].done_at is None or not w.on_machine.get(("job-000001", 0))):
        if time.monotonic() > end:
            raise CannotRun("nothing runs")
        await asyncio.sleep(0.1)

    # The disruption: a submission with a field that the page does not name. Everything else is the same without it.
    odd = array(3)
    if trouble:
        odd["lineage"] = lineage(29)
    accepted = {}
    for number, body in ((3, odd),) + tuple((n, array(n)) for n in range(4, 9)):
        status = await w.submit(body, 1.0, [w.nodes[number % 3]])
        if status in (200, 201):
            accepted[body["id"]] = time.monotonic()
    if not {"job-%06d" % n for n in range(4, 9)} <= set(accepted):
        raise CannotRun("an ordinary job is not accepted")
    room_since, next_poll = None, 0.0
    while True:
        room = any(x.free(array(99)) for x in w.workers.values())
        room_since = (room_since or time.monotonic()) if room else None
        if w.ended():
            raise CannotRun("a controller ended")
        if time.monotonic() > max(accepted.values()) + WAITING_S + 3 or all(w.jobs[j].done_at for j in accepted):
            break
        if time.monotonic() > next_poll:
            next_poll = time.monotonic() + 10
            for i, j in enumerate(sorted(accepted)):
                await w.ask(w.nodes[i % 3], "GET", "/work/" + j, timeout=2.0)
        await asyncio.sleep(0.5)
    now = time.monotonic()
    for j, since in sorted(accepted.items()):
        waited = now - max(since, room_since or now)
        if not w.jobs[j].starts and waited >= WAITING_S:
            w.break_rule("left_waiting", "%s was accepted, and no task of it was started in %.0f s, while a machine that "
                         "fits had room all that time" % (j, waited))
    return w


main(case, HERE)
