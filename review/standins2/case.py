"""Runs one case: `main(world, trouble)` returns a text if the rule was broken, else None.

Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the
disruption.
"""
import asyncio
import os
import sys
import traceback

import world


def run(main, record_path, limit_s=116.0, **settings):
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def go():
        w = world.World(record_path, **settings)
        try:
            await w.start()
            await w.ready()
            w.log("test", "begins", trouble=trouble)
            broken = await asyncio.wait_for(main(w, trouble), limit_s - w.at())
            w.check_processes()
            w.log("test", "result", broken=broken, other_rules=w.violations)
            return broken
        finally:
            await w.close()

    try:
        broken = asyncio.run(go())
    except Exception:  # any failure of the test itself
        traceback.print_exc()
        print("the case could not run")
        sys.exit(2)
    print(f"TROUBLE={int(trouble)}: " + (f"broken: {broken}" if broken else "held"))
    sys.exit(1 if broken else 0)
