"""Large arrays whose tasks complete out of order, while the state service's lower limits are announced: is each
request to cancel one answered?"""
import os
import sys
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from fc import SETTINGS, World  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
RUNS = 900
RETRY_S = 60.0  # a user repeats the request for so long in total
# Six arrays alike, but for the length of their class's name.
JOBS = {"job-00000%d" % i: "census-array" + "-abcde"[:i - 1] for i in range(1, 7)}


def main():
    here = os.path.dirname(os.path.abspath(__file__))
    state = dict(SETTINGS["state"])
    if TROUBLE:
        state["next"] = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}
    world = World(record=os.path.join(here, "record.txt"), capacity=10, settings={"state": state})
    world.quiet = True
    # Every second task is short.
    world.task_run_s = lambda t: 1.0 if t.index % 2 else 600.0
    try:
        world.start_all()
        if not world.wait_ready():
            return 2
        for name, squad in JOBS.items():
            job = world.job(name, squad=squad, runs=RUNS, cpus=0.08, gpus=0.0, memGb=0.5, run_s=1.0, expectS=60.0)
            if world.submit(job)[0] != 201:
                return 2
        until = time.monotonic() + 45
        while time.monotonic() < until:
            time.sleep(1)
            if all(len(world.done.get(name, ())) == RUNS // 2 for name in JOBS):
                break
        if not all(len(world.done.get(name, ())) == RUNS // 2 for name in JOBS):
            return 2
        time.sleep(8)
        if TROUBLE:
            world.state.value_max, world.state.txn_ops = 2048, 4
            world.note("case", "the state service has its lower limits from now on")
        for name in JOBS:
            world.poll(name)
        open_jobs, began = set(JOBS), time.monotonic()
        while open_jobs and time.monotonic() - began < (RETRY_S if TROUBLE else 20):
            for k, name in enumerate(sorted(open_jobs)):
                status, answer = world.withdraw(name, node=k % 3)
                if status == 200:
                    open_jobs.discard(name)
            time.sleep(1)
        world.note("case", "outcome", not_answered=sorted(open_jobs))
        if open_jobs:
            print("no answer to the cancellation of %s in %.0f s; %d of their tasks run on" % (
                  ", ".join(sorted(open_jobs)), RETRY_S, sum(len(world.running(name)) for name in open_jobs)))
        return 1 if open_jobs else 0
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        world.close()


code = main()
print({0: "held", 1: "broken", 2: "could not run"}[code])
sys.stdout.flush()
os._exit(code)
