"""A machine fails a task of a gang and is sound again: the gang is never placed on it again, and waits for good."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from world import CouldNotRun, asyncio, begin, main, now  # noqa: E402

GANG = "job-000001"
WAITED_S = 90.0  # the bound of the rule


async def play(folder, trouble):
    world = await begin(folder, capacity={"brisbane-a": 2})
    spec = world.job(GANG, play="gang", rank="high", runs=2, cpus=14.0, gpus=2.0, memGb=51.0, pullGb=0.0, run_s=4.0)
    if await world.submit(spec) != 201:
        raise CouldNotRun("the gang is not accepted")
    if trouble:
        if not await world.until(lambda: len(world.running(GANG)) == 2, 25.0):
            raise CouldNotRun("the gang does not start")
        sick = next(iter(world.workers.values()))
        sick.failing = True
        world.note("sick", machine=sick.name)
        if not await world.until(lambda: len(world.running(GANG)) < 2, 10.0):
            raise CouldNotRun("no task fails")
        await asyncio.sleep(1.0)
        sick.failing = False
        world.note("sound", machine=sick.name)
    since = None
    while not len(world.completed.get(GANG, ())) == 2 and now() < world.t0 + 115.0:
        free = [w for w in world.workers.values() if w.up and w.room_for(spec)]
        if len(free) < 2 or world.running(GANG):
            since = None
        elif since is None:
            since = now()
        if since is not None and now() - since > WAITED_S:
            status, answer = await world.poll(GANG)
            return world, ["the gang waits for %.0f s while two machines that fit are empty: %s" % (WAITED_S, answer)]
        await asyncio.sleep(0.1)
    return world, []


main(__file__, play)
