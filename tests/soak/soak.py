#!/usr/bin/env python3
"""Fault soak of the platform's daemons: real processes, faults from outside.

Each seed is an episode: the fleet starts, serves under faults that overlap,
is healed, and has to serve everything again. What callers and targets saw is
checked all along. Processes are ended by their ids.
"""

import argparse
import asyncio
import os
import shutil
import sys
import tempfile

from fleet import Fleet

# Far above every bound of the platform: not a measure of speed.
SERVED_AGAIN_LIMIT = 45


async def episode(program, seed, seconds, net):
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    fleet = Fleet(program, seed, folder, net)
    await fleet.start()
    await fleet.served_again(SERVED_AGAIN_LIMIT)
    traffic = [
        asyncio.create_task(fleet.callers(rate=120)),
        asyncio.create_task(fleet.probe_versions()),
    ]
    loop, faults, busy = asyncio.get_running_loop(), [], set()
    began, drawn = loop.time(), 0
    while loop.time() - began < seconds and not fleet.judge.violations:
        (name, fault, arguments), daemon, pause = fleet.draw_fault(drawn)
        drawn += 1
        # A process gets one signal at a time; all else overlaps.
        owns = name.split()[0] in ("pause", "kill", "term", "crash", "retire")
        if not (owns and daemon.name in busy):
            print(f"  {loop.time() - began:6.2f} {name}", flush=True)
            task = asyncio.create_task(fault(*arguments))
            faults.append(task)
            if owns:
                busy.add(daemon.name)
                task.add_done_callback(lambda _, n=daemon.name: busy.discard(n))
        await asyncio.sleep(pause)
    await asyncio.gather(*faults)
    await fleet.served_again(SERVED_AGAIN_LIMIT)
    for task in traffic:
        task.cancel()
    await fleet.end()
    return fleet, folder


def main():
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("program", help="the daemon's program")
    words.add_argument("--seed", type=int, default=1, help="first seed")
    words.add_argument("--episodes", type=int, default=1)
    words.add_argument("--seconds", type=float, default=10, help="of faults")
    words.add_argument("--net", type=int, default=1, help="second byte of 127.x.y.1")
    given = words.parse_args()
    red = []
    for seed in range(given.seed, given.seed + given.episodes):
        print(f"seed {seed}", flush=True)
        fleet, folder = asyncio.run(
            episode(os.path.abspath(given.program), seed, given.seconds, given.net)
        )
        print(f"  {dict(sorted(fleet.judge.counts.items()))}")
        if fleet.judge.violations:
            red.append(seed)
            print("  VIOLATION, logs in", os.path.basename(folder))
            print("    " + "\n    ".join(fleet.judge.violations))
        else:
            shutil.rmtree(folder)
    print(f"{given.episodes} episodes, red: {red or 'none'}")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
