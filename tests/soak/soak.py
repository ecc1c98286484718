#!/usr/bin/env python3
"""Fault soak of the platform's daemons: real processes, faults injected from outside.

Each seed is one episode: the fleet starts, serves requests during overlapping
faults, and has to serve everything again after their end. An oracle checks what
callers and targets observe throughout. Processes are ended by their ids.
"""

import argparse
import asyncio
import os
import shutil
import sys
import tempfile

from fleet import Fleet

# Seconds until everything has to be served again. Far above every bound of the
# platform, so that only lasting failures count.
SERVED_LIMIT_S = 45


async def run_episode(program, seed, seconds, net):
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    fleet = Fleet(program, seed, folder, net)
    await fleet.start()
    stalls = asyncio.create_task(fleet.watch_stalls())
    await fleet.wait_until_served(SERVED_LIMIT_S)
    traffic = [
        stalls,
        asyncio.create_task(fleet.generate_load(rate=120)),
        asyncio.create_task(fleet.check_route_versions()),
    ]
    loop, faults, busy = asyncio.get_running_loop(), [], set()
    started, fault_index = loop.time(), 0
    while loop.time() - started < seconds and not fleet.oracle.violations:
        (name, fault, arguments), daemon, pause = fleet.draw_fault(fault_index)
        fault_index += 1
        # Only one fault at a time acts on a process; other faults overlap.
        exclusive = name.split()[0] in ("pause", "kill", "term", "crash", "retire")
        if not (exclusive and daemon.name in busy):
            print(f"  {loop.time() - started:6.2f} {name}", flush=True)
            task = asyncio.create_task(fault(*arguments))
            faults.append(task)
            if exclusive:
                busy.add(daemon.name)
                task.add_done_callback(lambda _, n=daemon.name: busy.discard(n))
        await asyncio.sleep(pause)
    await asyncio.gather(*faults)
    await fleet.wait_until_served(SERVED_LIMIT_S)
    await fleet.check_evacuation()
    await fleet.wait_until_served(SERVED_LIMIT_S)
    for task in traffic:
        task.cancel()
    await fleet.end()
    return fleet, folder


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program", help="path of the daemon's executable")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--episodes", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10, help="of faults in an episode")
    parser.add_argument("--net", type=int, default=1, help="second byte of 127.x.y.1")
    options = parser.parse_args()
    failed_seeds = []
    for seed in range(options.seed, options.seed + options.episodes):
        print(f"seed {seed}", flush=True)
        fleet, folder = asyncio.run(
            run_episode(
                os.path.abspath(options.program), seed, options.seconds, options.net
            )
        )
        print(f"  {dict(sorted(fleet.oracle.counts.items()))}")
        if fleet.oracle.violations:
            failed_seeds.append(seed)
            print("  VIOLATION, logs in", os.path.basename(folder))
            print("    " + "\n    ".join(fleet.oracle.violations))
        else:
            shutil.rmtree(folder)
    print(f"{options.episodes} episodes, red: {failed_seeds or 'none'}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
