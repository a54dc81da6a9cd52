"""Real processes: users' connections that are idle, half-sent or slow keep nobody else from being served.

Usage: idle_connections.py PROGRAM. More connections than a controller has sockets for are held at each of three
controllers, and opened anew whenever they are closed. Beside them jobs are submitted, health is checked, and all
controllers are killed and started again, so that all workers have to connect anew. Exit code 0: each submission was
accepted at its first try within 5 s, each health check was answered within 1 s, and no worker's lease ended;
1: not so; 2: could not run.
"""
import os
import selectors
import socket
import subprocess
import sys
import threading
import time

TESTS = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(TESTS), "review", "common"))
from fc import HOST, World, call  # noqa: E402

SERVICES = ["job-%06d" % number for number in range(1, 9)]  # of one replica each, one on a machine
FD_LIMIT = 300  # 225 connections of clients
HELD_AT_EACH = 260
OPENED_PER_S = 170  # in all, when they are closed: 10,000 a minute
HELD_MAX_S = 50.0
FIRST_START_MAX_S = 25.0
SUBMIT_TIMEOUT_S = 5.0
HEALTH_TIMEOUT_S = 1.0
PHASE_S = 10.0
AWAY_S = 0.3
READY_MAX_S = 20.0
SLOW_BYTE_S = 0.5
HALF_SENT = b"POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n{\"id\":\"job-9"


class CouldNotRun(Exception):
    """The situation to be tested did not arise."""


# ---- the process that holds connections ----

class Holder:
    """Holds connections to the ports: a third idle, a third half-sent, a third sent byte by byte."""

    def __init__(self, ports):
        self.selector = selectors.DefaultSelector()
        self.slow = {}  # socket -> bytes sent
        self.wanted = [(port, kind % 3) for port in ports for kind in range(HELD_AT_EACH)]
        self.opened = 0

    def open_one(self):
        port, kind = self.wanted.pop(0)
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((HOST, port))
        self.opened += 1
        self.selector.register(sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if kind else 0), (port, kind))

    def close(self, sock, port, kind):
        self.selector.unregister(sock)
        self.slow.pop(sock, None)
        sock.close()
        self.wanted.append((port, kind))

    def on_event(self, sock, events, port, kind):
        try:
            if events & selectors.EVENT_READ and not sock.recv(4096):
                raise OSError
            if events & selectors.EVENT_WRITE:
                sock.send(HALF_SENT if kind == 1 else HALF_SENT[:1])
                if kind == 2:
                    self.slow[sock] = 1
                self.selector.modify(sock, selectors.EVENT_READ, (port, kind))
        except OSError:
            self.close(sock, port, kind)

    def send_slowly(self):
        for sock, sent in list(self.slow.items()):
            try:
                sock.send(HALF_SENT[sent:sent + 1])
                self.slow[sock] = min(sent + 1, len(HALF_SENT) - 2)
            except OSError:
                pass  # its close is an event

    def run(self):
        end = time.monotonic() + HELD_MAX_S
        slow_at = budget_at = time.monotonic()
        budget = 3.0 * HELD_AT_EACH  # the first ones are opened at once
        while time.monotonic() < end:
            now = time.monotonic()
            budget, budget_at = budget + (now - budget_at) * OPENED_PER_S, now
            while self.wanted and budget >= 1:
                self.open_one()
                budget -= 1
            for key, events in self.selector.select(0.01):
                self.on_event(key.fileobj, events, *key.data)
            if now >= slow_at:
                slow_at = now + SLOW_BYTE_S
                self.send_slowly()


# ---- the scene ----

class Checks:
    """Submissions and health checks beside the held connections."""

    def __init__(self, world):
        self.world, self.number = world, 100
        self.submitted, self.checked = 0, 0
        self.failed = []

    def submit_one(self, node):
        self.number += 1
        job = self.world.job("job-%06d" % self.number, cpus=1.0, gpus=0.0, memGb=1.0, run_s=1.0)
        began = time.monotonic()
        status, _ = call(self.world.ports[node], "POST", "/api/jobs", job, SUBMIT_TIMEOUT_S)
        self.submitted += 1
        if status != 201:
            self.failed.append("submission to %d: %d after %.2f s" % (node, status, time.monotonic() - began))

    def check_health(self, node, until):
        while time.monotonic() < until:
            status, _ = call(self.world.ports[node], "GET", "/ready", timeout=HEALTH_TIMEOUT_S)
            self.checked += 1
            if status != 200:
                self.failed.append("health check of %d: %d" % (node, status))
            time.sleep(0.5)

    def run_phase(self, name):
        until = time.monotonic() + PHASE_S
        health = [threading.Thread(target=self.check_health, args=(n, until)) for n in range(3)]
        for thread in health:
            thread.start()
        node = 0
        while time.monotonic() < until:
            self.submit_one(node)
            node = (node + 1) % 3
            time.sleep(0.4)
        for thread in health:
            thread.join()
        print("%s: %d submissions, %d health checks, %d failed so far" % (
            name, self.submitted, self.checked, len(self.failed)), flush=True)


def wait_until(condition, within_s):
    until = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(0.1)
    return True


def all_ready(world):
    return all(call(p, "GET", "/ready", timeout=HEALTH_TIMEOUT_S)[0] == 200 for p in world.ports)


def restart_all(world):
    for node in range(3):
        world.kill(node)
    time.sleep(AWAY_S)
    world.start_all()


def play(world):
    world.start_all()
    if not world.wait_ready():
        raise CouldNotRun("a controller is not ready")
    for service in SERVICES:
        if world.submit(world.job(service, play="service", rank="prod", cpus=30.0, gpus=0.0))[0] != 201:
            raise CouldNotRun("a service is not accepted")
    if not wait_until(lambda: all(world.running(service) for service in SERVICES), FIRST_START_MAX_S):
        raise CouldNotRun("a service does not run")
    holder = subprocess.Popen([sys.executable, os.path.abspath(__file__), "--hold"] + [str(p) for p in world.ports])
    try:
        time.sleep(2.0)
        checks = Checks(world)
        checks.run_phase("beside held connections")
        restart_all(world)
        if not wait_until(lambda: all_ready(world), READY_MAX_S):
            checks.failed.append("not all controllers are ready %.0f s after their restart" % READY_MAX_S)
        checks.run_phase("after a restart of all controllers")
    finally:
        holder.terminate()
        holder.wait()
    ended = ["lease of %s ended with %d tasks" % (name, len(tasks)) for name, tasks in world.lease_ends]
    alive = ["controller %d has ended" % i for i, p in enumerate(world.procs) if p.poll() is not None]
    return checks.failed + ended + alive + world.violations


def main():
    limits = {"cpu": 0.08, "memory_mb": 56.0, "fd_limit": FD_LIMIT}
    world = World(settings={"limits": limits}, capacity=2 * len(SERVICES))
    world.run_cmd = [os.path.abspath(sys.argv[1]), "--config"]
    try:
        failed = play(world)
        print("\n".join(failed) or "held")
        return 1 if failed else 0
    except CouldNotRun as error:
        print("could not run:", error)
        return 2
    finally:
        world.close()


if sys.argv[1] == "--hold":
    Holder([int(p) for p in sys.argv[2:]]).run()
    sys.exit(0)
code = main()
sys.stdout.flush()
os._exit(code)  # threads of the stand-ins wait for connections
