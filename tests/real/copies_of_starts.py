"""Real processes: copies of direct calls that were executed and answered arrive at their workers again.

Usage: copies_of_starts.py PROGRAM. Three controllers run on loopback with the stand-ins of review/common. Tasks end in
different ways and, unless their job is cancelled, run elsewhere; then every call to their machines arrives once more.
Exit code 0: no call carried a start, no task ran twice, and none of the cancelled job after its deadline; 1: one did; 2:
could not run.
"""
import os
import sys
import time

TESTS = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(TESTS), "review", "common"))
from fc import World  # noqa: E402

WORKERS = {"report_s": 1.0, "lease_s": 8.0, "gang_wait_s": 20.0, "gang_peer_s": 4.0, "cancel_s": 16.0}
WARM_UP, FAILS, MOVED, CANCELLED = "job-000001", "job-000002", "job-000003", "job-000004"
MACHINES = 6
FIRST_START_MAX_S = 25.0
OTHER_START_MAX_S = 20.0
OBSERVED_S = 3.0
RESTART_S = 0.3
NOTICE_S = 300.0


class CouldNotRun(Exception):
    """The situation to be tested did not arise."""


def wait_until(what, condition, within_s):
    until = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until:
            raise CouldNotRun(what)
        time.sleep(0.05)


def submit(world, job_id, **fields):
    job = world.job(job_id, cpus=8.0, gpus=4.0, memGb=58.0, **fields)
    if world.submit(job)[0] != 201:
        raise CouldNotRun("%s is not accepted" % job_id)


def place_of(world, job_id):
    """The worker that the job's only task runs on; None: it does not run."""
    running = world.running(job_id)
    return running[0][1] if running else None


def repeat_calls(world, worker):
    """Delivers each direct call to the worker, of which there may be none, once more; returns how many were executed."""
    calls = [request for _, request in worker.received]
    for call in calls:
        if any(command["call"] == "start" for command in call.get("calls") or []):
            world.violations.append("a start was sent by a direct call: %s" % call)
    answers = [worker.orders(call) for call in calls]
    # A machine that was returned meanwhile, or hangs, gives no answer, for which the stand-in has an object.
    return sum(isinstance(answer, tuple) and answer[0] == 200 for answer in answers)


def warm_up(world):
    """Has machines rented, which are then known to the controllers."""
    submit(world, WARM_UP, runs=MACHINES, run_s=3.0)
    wait_until("the first tasks are done", lambda: len(world.done.get(WARM_UP, ())) == MACHINES, FIRST_START_MAX_S)


def restart_controller(world):
    """The owners call their machines in the new term."""
    calls = sum(len(worker.received) for worker in world.workers())
    world.kill(0)
    time.sleep(RESTART_S)
    world.start(0)
    wait_until("the machines are called in a new term",
               lambda: sum(len(w.received) for w in world.workers()) >= calls + MACHINES, FIRST_START_MAX_S)
    if not world.wait_ready():
        raise CouldNotRun("a controller is not ready again")


def end_first_attempts(world, first):
    """Each task ends in its own way. Returns when the user was told of the cancellation."""
    first[FAILS].failing = True
    first[MOVED].recall = time.monotonic() + NOTICE_S
    first[MOVED].changed.set()
    status, answer = world.withdraw(CANCELLED)
    if status != 200 or answer["status"] != "cancelled":
        raise CouldNotRun("the cancellation is refused")
    told = time.monotonic()
    for job_id in (FAILS, MOVED):
        wait_until("%s runs elsewhere" % job_id,
                   lambda j=job_id: place_of(world, j) not in (None, first[j]), OTHER_START_MAX_S)
        first[job_id].failing = False
    time.sleep(OBSERVED_S)  # the workers have been told to forget the first attempts
    return told


def play(world):
    world.start_all()
    if not world.wait_ready():
        raise CouldNotRun("a controller is not ready")
    warm_up(world)
    restart_controller(world)
    submit(world, FAILS, run_s=1e6)
    submit(world, MOVED, play="service", rank="prod")
    submit(world, CANCELLED, run_s=1e6)
    jobs = (FAILS, MOVED, CANCELLED)
    wait_until("the tasks run", lambda: all(place_of(world, j) for j in jobs), FIRST_START_MAX_S)
    first = {j: place_of(world, j) for j in jobs}
    time.sleep(OBSERVED_S)
    told = end_first_attempts(world, first)
    for job_id in (FAILS, MOVED):
        print("%s: %d copies executed" % (job_id, repeat_calls(world, first[job_id])))
    time.sleep(OBSERVED_S)
    for job_id in (FAILS, MOVED):  # the same once more, after the machine was back within a second
        first[job_id].restart(RESTART_S)
        time.sleep(OBSERVED_S)
        print("%s, machine restarted: %d copies executed" % (job_id, repeat_calls(world, first[job_id])))
    time.sleep(max(0.0, told + WORKERS["cancel_s"] + 0.5 - time.monotonic()))
    deadline = time.monotonic()
    print("%s: %d copies executed" % (CANCELLED, repeat_calls(world, first[CANCELLED])))
    time.sleep(OBSERVED_S)
    late = ["%s on %s after its cancellation" % (run, machine) for at, kind, run, _, machine in world.events
            if kind == "on" and run.startswith(CANCELLED) and at > deadline]
    return world.violations + late


def main():
    world = World(settings={"workers": WORKERS}, capacity=2 * MACHINES)
    world.run_cmd = [os.path.abspath(sys.argv[1]), "--config"]
    try:
        broken = play(world)
        print("\n".join(broken) or "held")
        return 1 if broken else 0
    except CouldNotRun as error:
        print("could not run:", error)
        return 2
    finally:
        world.close()


code = main()
sys.stdout.flush()
os._exit(code)  # threads of the stand-ins wait for connections
