"""A start command is held up in an interrupted link, its job is cancelled, and the cloud has an outage as the
deadline of the cancellation comes near: does a task of the job start more than cancel_s after its user was told?"""
import json
import os
import sys
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from fc import HANG, World, peer, sender_of  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
CLOUD_OUT_S, CLOUD_BACK_S = 24.0, 40.0  # the cloud's outage, from when the user was told
LINK_BACK_S = 38.0                      # the end of the interruption of the link, from when the user was told
SERVICE, CANCELLED = "job-000001", "job-000002"


def main():
    here = os.path.dirname(os.path.abspath(__file__))
    world = World(record=os.path.join(here, "record.txt"), capacity=3)
    cancel_s = world.settings["workers"]["cancel_s"]
    link = {}  # the interrupted link, once there is one: worker, node, the request that is held up

    def filter_call(worker, method, path, body):
        """Holds the first start of the job to be cancelled; from then on nothing passes between the two hosts."""
        node = sender_of(peer.port, worker.server.port, [p.pid for p in world.procs])
        if link:
            return HANG if link.get("cut") and worker is link["worker"] and node == link["node"] else None
        if not TROUBLE or path != "/orders" or node is None:
            return None
        req = json.loads(body)
        if not any(c["call"] == "start" and c["run"].startswith(CANCELLED) for c in req.get("calls") or []):
            return None
        link.update(worker=worker, node=node, req=req, cut=True)
        world.blocked_from.add((worker.name, node))
        world.note("case", "the link is interrupted; this request is held up", machine=worker.name,
                   node=world.names[node], request=req)
        return HANG

    def deliver():
        link["cut"] = False
        world.blocked_from.clear()
        world.note("case", "the link is back: the request that was held up arrives")
        status, report = link["worker"].orders(link["req"])
        world.note("case", "its outcome", status=status, report=report)

    world.link_filter = filter_call
    try:
        world.start_all()
        if not world.wait_ready():
            return 2
        service = world.job(SERVICE, play="service", club="kassa", squad="fraud-scoring", rank="prod", runs=3, cpus=8.0,
                            gpus=1.0, memGb=58.0, scatter=True)
        if world.submit(service)[0] != 201:
            return 2
        until = time.monotonic() + 20
        while time.monotonic() < until and len(world.running(SERVICE)) < 3:
            time.sleep(0.2)
        if len(world.running(SERVICE)) < 3:
            return 2
        time.sleep(6)
        if world.submit(world.job(CANCELLED, runs=1, cpus=8.0, gpus=1.0, memGb=58.0, run_s=60.0))[0] != 201:
            return 2
        until = time.monotonic() + 10
        while time.monotonic() < until and not (link if TROUBLE else world.running(CANCELLED)):
            time.sleep(0.05)
        if TROUBLE and not link:
            return 2
        time.sleep(1.0)
        status, answer = world.withdraw(CANCELLED, node=(link.get("node", 0) + 1) % 3)
        told = time.monotonic()
        if status != 200 or answer["status"] != "cancelled":
            return 2
        if TROUBLE:
            for at, action in ((CLOUD_OUT_S, lambda: setattr(world.cloud, "down", True)),
                               (CLOUD_BACK_S, lambda: setattr(world.cloud, "down", False)), (LINK_BACK_S, deliver)):
                timer = threading.Timer(at, action)
                timer.daemon = True
                timer.start()
        late = []
        while time.monotonic() < told + 50:
            time.sleep(0.1)
            with world.lock:
                late += [(round(t - told, 2), kind, run, machine) for t, kind, run, _, machine in world.events
                         if kind == "on" and run.startswith(CANCELLED) and t > told + cancel_s]
                if not late and time.monotonic() > told + cancel_s:
                    late += [(round(time.monotonic() - told, 2), "there", t.name, w.name)
                             for t, w in world.running(CANCELLED)]
            if late:
                break
        world.note("case", "outcome", on_a_machine_more_than_cancel_s_after_the_user_was_told=late)
        time.sleep(5)
        if late:
            print("%s is on %s %.1f s after its user was told (cancel_s is %.0f)" % (late[0][2], late[0][3], late[0][0],
                                                                                     cancel_s))
        return 1 if late else 0
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        world.close()


code = main()
print({0: "held", 1: "broken", 2: "could not run"}[code])
sys.stdout.flush()
os._exit(code)
