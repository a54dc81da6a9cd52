"""Real processes: what was sent to a machine for the start of a task is held up, and arrives after its sender has ended
or stood still and after the machine was back without its tasks.

Usage: held_up_starts.py PROGRAM. Several deployments of three controllers run on loopback side by side, with the
stand-ins of review/common-2. TROUBLE=0: nothing is held up, and nothing ends. Exit code 0: no task ran twice, and each
job ran in the end; 1: one did, or one did not; 2: could not run.
"""
import os
import sys
import tempfile

TESTS = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(TESTS), "review", "common-2"))
os.environ["FC_PROGRAM"] = os.path.abspath(sys.argv[1])
from world import CouldNotRun, asyncio, begin, main  # noqa: E402

MACHINES = 8
WARM_UP, FILLER, JOB = "job-000001", "job-000100", "job-000200"
WHOLE_MACHINE = {"cpus": 14.0, "gpus": 2.0, "pullGb": 0.0}
FILLER_S = 9.0   # for which all machines but one are in use
JOB_S = 25.0
BACK_S = 4.0     # an ended controller is back after this time
MACHINE_S = 0.3  # the machine is back within a fraction of a second
RUNNING_S = 2.0  # the task runs for this long before its first machine restarts
STARTED_MAX_S, PLACED_AGAIN_MAX_S, DONE_MAX_S = 10.0, 40.0, 60.0

# Which controllers end, for how long the owner stands still, and how late the calls arrive, from the machine's return on.
SCENES = (
    {"name": "all controllers end, at once", "ends": "all", "pause_s": 0.0, "late_s": 0.0},
    {"name": "all controllers end, 4 s later", "ends": "all", "pause_s": 0.0, "late_s": 4.0},
    {"name": "all controllers end, 8 s later", "ends": "all", "pause_s": 0.0, "late_s": 8.0},
    {"name": "the owner ends, at once", "ends": "owner", "pause_s": 0.0, "late_s": 0.0},
    {"name": "the owner stands still for 15 s, at once", "ends": None, "pause_s": 15.0, "late_s": 0.0},
)


async def fill(world):
    """Has a task run on each machine but one."""
    await world.submit(world.job(WARM_UP, runs=MACHINES, run_s=6.0, **WHOLE_MACHINE))
    if not await world.until(lambda: len(world.completed.get(WARM_UP, ())) == MACHINES, 40.0):
        raise CouldNotRun("the first job is not done")
    await world.submit(world.job(FILLER, runs=MACHINES - 1, run_s=FILLER_S, **WHOLE_MACHINE))
    if not await world.until(lambda: len(world.running(FILLER)) == MACHINES - 1, 25.0):
        raise CouldNotRun("the machines are not in use")
    await asyncio.sleep(3.0)


def owner_of(world, machine):
    """The number of the controller that the machine's record names."""
    record = next(row for key, row in world.state.rows.items() if key == "fc1/machine/" + machine)
    return next(i for i, name in enumerate(world.names) if '"%s"' % name in str(record).replace("'", '"'))


async def place_first(world):
    """Submits the job while direct calls are held up. Returns its first machine and the calls that were held up."""
    held = []

    def hold(worker, request):
        held.append((worker, request))
        world.note("held_up", machine=worker.name, request=request)
        return True

    world.hold_orders = hold
    await world.submit(world.job(JOB, run_s=JOB_S, **WHOLE_MACHINE))
    if not await world.until(lambda: held or world.running(JOB), STARTED_MAX_S):
        raise CouldNotRun("nothing was sent")
    machine = held[0][0].name if held else world.running(JOB)[0][1]
    return machine, held


async def cause(world, scene, machine):
    """The controllers end or stand still; they are back in the end."""
    owner = owner_of(world, machine)
    ended = range(world.nodes) if scene["ends"] == "all" else [owner] if scene["ends"] else []
    for node in ended:
        world.kill_node(node)
    world.hold_orders = None
    if ended:
        await asyncio.sleep(BACK_S)
    for node in ended:
        world.start_node(node)
    if scene["pause_s"]:
        world.pause_node(owner)
        world.spawn(resume_later(world, owner, scene["pause_s"]))


async def resume_later(world, node, after_s):
    await asyncio.sleep(after_s)
    world.resume_node(node)


async def restart_and_deliver(world, scene, machine, held):
    """The machine is back without tasks; then the calls that were held up arrive there. Returns how many were executed."""
    worker = world.workers[machine]
    await worker.restart(MACHINE_S)
    await asyncio.sleep(scene["late_s"])
    return sum(w is worker and worker.orders(request)[0] == 200 for w, request in held)


async def play_scene(folder, scene, trouble):
    world = await begin(folder, capacity=MACHINES)
    await fill(world)
    if trouble:
        machine, held = await place_first(world)
        await cause(world, scene, machine)
        if not await world.until(lambda: world.running(JOB), PLACED_AGAIN_MAX_S):
            raise CouldNotRun("%s: the job does not run again" % scene["name"])
        await asyncio.sleep(RUNNING_S)
        moved = all(place != machine for _, place in world.running(JOB))
        executed = await restart_and_deliver(world, scene, machine, held)
        print("%s: %d calls held up, %d executed late, the task was on %s" % (
            scene["name"], len(held), executed, "another machine" if moved else "the machine"))
    else:
        await world.submit(world.job(JOB, run_s=JOB_S, **WHOLE_MACHINE))
    done = await world.until(lambda: len(world.completed.get(JOB, ())) == 1, DONE_MAX_S)
    findings = ["%s: %s starts on %s while it is on %s" % (scene["name"], f["task"], f["machine"], f["others"])
                for rule, f in world.violations if rule == "ran_twice"]
    return findings + ([] if done else ["%s: the job is not done" % scene["name"]])


async def play(folder, trouble):
    findings = await asyncio.gather(*(play_scene(folder, scene, trouble) for scene in SCENES))
    return None, [finding for found in findings for finding in found]


main(os.path.join(tempfile.mkdtemp(prefix="fc-held-up-"), "held_up_starts"), play)
