"""A start that was held up reaches its machine as that is back, after its task has been started on another machine."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from world import CouldNotRun, asyncio, begin, main  # noqa: E402

MACHINES = 8
BACK_S = 4.0     # the controllers are back after this time (BRIEF)
MACHINE_S = 0.3  # the machine is back within a fraction of a second
ROUNDS = 4       # a round proves nothing if the task is started on the same machine again


async def fill(world, job, run_s):
    """Has a task run on each machine but one."""
    runs = sum(worker.up for worker in world.workers.values()) - 1
    if runs < 3:
        raise CouldNotRun("too few machines are up")
    await world.submit(world.job(job, runs=runs, cpus=14.0, gpus=2.0, pullGb=0.0, run_s=run_s))
    begun = lambda: len({i for i, _ in world.running(job)} | world.completed.get(job, set()))  # noqa: E731
    if not await world.until(lambda: begun() == runs, 25.0):
        raise CouldNotRun("%s does not run" % job)


async def play_round(world, number, trouble):
    """Returns whether the held-up start of the round's job reached its machine after the job had moved."""
    held = []

    def hold(worker, request):
        if not trouble or held or not any(c["run"].startswith(job) for c in request.get("calls") or []):
            return False
        held.append((worker, request))
        world.note("held_up", machine=worker.name, request=request)
        for node in range(world.nodes):
            world.kill_node(node)
        return True

    await asyncio.sleep(1.0)
    filler, job = "job-%06d" % (100 + number), "job-%06d" % (200 + number)
    await fill(world, filler, 9.0)
    await asyncio.sleep(3.0)
    world.hold_orders = hold
    await world.submit(world.job(job, cpus=14.0, gpus=2.0, pullGb=0.0, run_s=1000.0))
    if trouble:
        if not await world.until(lambda: held, 10.0):
            raise CouldNotRun("no start was sent directly")
        await asyncio.sleep(BACK_S)
        for node in range(world.nodes):
            world.start_node(node)
    if not await world.until(lambda: world.running(job), 40.0):
        raise CouldNotRun("%s does not run" % job)
    await asyncio.sleep(2.0)
    place = world.running(job)[0][1]
    moved = bool(held) and held[0][0].name in world.workers and held[0][0].name != place
    if moved:
        worker, request = held[0]
        await worker.restart(MACHINE_S)
        status, _ = worker.orders(request)
        world.note("late_command", machine=worker.name, request=request, status=status, runs_on=place)
        await asyncio.sleep(3.0)
    await world.withdraw(job)
    await world.until(lambda: not world.running(job), 10.0)
    return moved


async def play(folder, trouble):
    world = await begin(folder, capacity=MACHINES)
    await world.submit(world.job("job-000001", runs=MACHINES, cpus=14.0, gpus=2.0, pullGb=0.0, run_s=6.0))
    if not await world.until(lambda: len(world.completed.get("job-000001", ())) == MACHINES, 30.0):
        raise CouldNotRun("the first job is not done")
    for number in range(ROUNDS):
        if await play_round(world, number, trouble) or not trouble:
            break
    else:
        raise CouldNotRun("each task was started on the same machine again")
    findings = ["%s starts on %s while it is on %s" % (f["task"], f["machine"], f["others"])
                for rule, f in world.violations if rule == "ran_twice"]
    return world, findings


main(__file__, play)
