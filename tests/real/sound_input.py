"""Real processes: unknown members in messages from every side have no effect, and a repeated submission in another
spelling is the same job.

Usage: sound_input.py PROGRAM. Three controllers run with stand-ins whose messages (users', workers', the state
service's, the cloud's) all carry members with odd but sound values. Jobs are submitted and repeated at other
controllers, in another order and spelling, while they run, while a controller is away, and after their end; malformed,
cut and random requests arrive in between. Exit code 0: each job was accepted, done, run once, and known ever after; no
malformed request was taken, and no controller ended; 1: not so.
"""
import json
import os
import random
import re
import socket
import sys
import time

TESTS = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(TESTS), "review", "common"))
import fc  # noqa: E402

SEED = 59
JOBS = 6
TASKS = 3
RUN_S = 4.0
DONE_MAX_S = 40.0
ACCEPTED_MAX_S = 10.0
REPEATS_S = 6.0
MALFORMED = 300
VALUES = [  # raw texts, as json.dumps() can't write some of them
    "18446744073709551615", "-99999999999999999999999999", "1e999", "-1E-999", "-0", "3.0",
    '"\\u0000"', '"a\\ud83d"', '"\\udc00\\ud800"', '"\\ud83d\\ude00 \\/ \x7f"', '"größe 日本語"',
    "[" * 3000 + "]" * 3000, '{"":' * 500 + "null" + "}" * 500, '{"a":1,"a":[{},[],true]}', "[ \t\r\n]",
]
NAMES = ['"x_labels"', '""', '"id\\u0000"', '"\\ud800"', '"ID"', '"x_größe"']


class OddJson:
    """In place of the module json in the stand-ins: adds unknown members to what is sent."""

    def __init__(self, rand):
        self.rand = rand
        self.loads, self.dump = json.loads, json.dump

    def member(self):
        return "%s: %s ," % (self.rand.choice(NAMES), self.rand.choice(VALUES))

    def dumps(self, obj, **options):
        text = json.dumps(obj, **options)
        is_message = not options or (isinstance(obj, dict) and "tally" in obj)
        if not is_message or not isinstance(obj, dict) or not obj:
            return text
        text = "{" + self.member() + text[1:]
        return re.sub(r"\[\{", lambda _: "[{" + self.member(), text, count=2)


# ---- submissions in other spellings ----

def escape_some(text, rand):
    return "".join("\\u%04x" % ord(c) if c.isalnum() and rand.random() < 0.2 else c for c in text)


def spell(value, rand):
    if isinstance(value, str):
        return '"%s"' % escape_some(value, rand)
    if isinstance(value, bool) or value is None:
        return json.dumps(value)
    if isinstance(value, float) and value == int(value):
        return rand.choice(["%.1f", "%d", "%.0fe0", "%.3fE+0"]) % value
    return json.dumps(value)


def spelled(job, rand):
    """The submission in another order and spelling, with other unknown members."""
    members = ['%s"%s"%s:%s' % (rand.choice(["", " ", "\n"]), escape_some(name, rand), rand.choice(["", "\t"]),
                                spell(value, rand)) for name, value in job.items() if value is not None]
    members += ["%s:%s" % (rand.choice(NAMES), rand.choice(VALUES)) for _ in range(2)]
    rand.shuffle(members)
    return ("{" + " ,".join(members) + "}").encode()


# ---- malformed requests ----

def malformed(rand, job):
    body = json.dumps(job).encode()
    bad = rand.choice([body[:-1], body + b"1", body[:-1] + b",}", b"\xef\xbb\xbf" + body, body[:9] + b"\xff" + body[9:],
                       body.replace(b"{", b'{"x":01,', 1), body.replace(b"{", b'{"x":NaN,', 1), b"[" * 60000])
    head = b"POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(bad)
    return rand.choice([head + bad, head + bad, head + bad[:20], head[:30], bytes(rand.randrange(256) for _ in range(300)),
                        b"POST /checkin HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(bad) + bad])


def send(port, data):
    """Returns the first line of the response; empty: none within a moment."""
    try:
        with socket.create_connection((fc.HOST, port), timeout=1.0) as sock:
            sock.settimeout(0.05)
            sock.sendall(data)
            return sock.recv(200).split(b"\r\n")[0]
    except OSError:
        return b""


# ---- the scene ----

class Scene:
    def __init__(self, world, rand):
        self.world, self.rand, self.failed = world, rand, []
        self.jobs = []

    def submit_all(self):
        for number in range(JOBS):
            job = self.world.job("job-%06d" % (number + 1), runs=TASKS, cpus=4.0, gpus=0.0, run_s=RUN_S)
            self.jobs.append(job)
            until = time.monotonic() + ACCEPTED_MAX_S
            status = 0
            while status in (0, 429, 503) and time.monotonic() < until:
                status, _ = self.world.user(number % 3, "POST", "/api/jobs", raw=spelled(job, self.rand))
            if status not in (200, 201):
                self.failed.append("submission of %s: %d" % (job["id"], status))

    def repeat_for(self, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            job, node = self.rand.choice(self.jobs), self.rand.randrange(3)
            if self.world.procs[node].poll() is not None:
                continue  # it is away
            status, _ = self.world.user(node, "POST", "/api/jobs", raw=spelled(job, self.rand))
            if status not in (0, 200, 503):
                self.failed.append("repeated submission of %s %s: %d" % (job["id"], what, status))
            time.sleep(0.05)

    def send_malformed(self):
        for number in range(MALFORMED):
            job = self.world.job("job-9%05d" % number, cpus=4.0, gpus=0.0)
            line = send(self.rand.choice(self.world.ports), malformed(self.rand, job))
            if b" 20" in line:
                self.failed.append("a malformed request was taken: %r" % line)

    def wait_done(self):
        until = time.monotonic() + DONE_MAX_S
        for job in self.jobs:
            while self.world.poll(job["id"])[1] is None or self.world.poll(job["id"])[1].get("status") != "done":
                if time.monotonic() > until:
                    self.failed.append("%s is not done" % job["id"])
                    return
                time.sleep(0.2)

    def check_runs(self):
        for job in self.jobs:
            starts = sum(kind == "on" and run.startswith(job["id"]) for _, kind, run, _, _ in self.world.events)
            if starts != TASKS:
                self.failed.append("%s: %d tasks began, not %d" % (job["id"], starts, TASKS))
        with self.world.state.lock:
            known = {key.split("/")[-1] for key in self.world.state.keys if key.startswith(("fc1/job/", "fc1over/"))}
        if known - {job["id"] for job in self.jobs}:
            self.failed.append("unexpected jobs: %s" % sorted(known))


def play(world, rand):
    world.start_all()
    if not world.wait_ready():
        return ["a controller is not ready"]
    scene = Scene(world, rand)
    scene.submit_all()
    scene.repeat_for(2.0, "at once")
    scene.send_malformed()
    world.kill(0)
    scene.repeat_for(REPEATS_S, "while a controller is away")
    world.start(0)
    scene.wait_done()
    scene.repeat_for(2.0, "after its end")
    scene.check_runs()
    ended = ["controller %d has ended" % i for i, process in enumerate(world.procs) if process.poll() is not None]
    return scene.failed + ended + world.violations


def main():
    rand = random.Random(SEED)
    world = fc.World(capacity=8)
    world.run_cmd = [os.path.abspath(sys.argv[1]), "--config"]
    fc.json = OddJson(rand)
    try:
        failed = play(world, rand)
        print("\n".join(failed) or "held")
        return 1 if failed else 0
    finally:
        world.close()


code = main()
sys.stdout.flush()
os._exit(code)  # threads of the stand-ins wait for connections
