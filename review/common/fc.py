"""Stand-ins for the platform around the controllers: state service, cloud, workers, users, links.

Each follows the users' protocol page. All sockets are on 127.0.0.1 and on free ports. Everything
that is sent, answered and run can be written to a record with World.note().
"""
import http.client
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
peer = threading.local()  # .port: the client's port, in a handler
HANG = object()   # a handler's result: no answer; the connection stays open
RESET = object()  # a handler's result: the connection is closed without an answer


def _ended(signum, frame):
    signal.signal(signal.SIGTERM, signal.SIG_IGN)  # timeout(1) sends it to the group as well
    raise SystemExit(2)  # the case's `finally` ends the processes that it started


signal.signal(signal.SIGTERM, _ended)


def free_ports(count):
    socks = []
    for _ in range(count):
        s = socket.socket()
        s.bind((HOST, 0))
        socks.append(s)
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


def sender_of(port, server_port, pids):
    """Index in `pids` of the process whose socket has the local port and is connected to the server; None: no such."""
    want = "0100007F:%04X" % port, "0100007F:%04X" % server_port
    with open("/proc/net/tcp") as f:
        inode = next((x[9] for x in map(str.split, f) if (x[1], x[2]) == want), None)
    for i, pid in enumerate(pids):
        try:
            for fd in os.listdir("/proc/%d/fd" % pid):
                if os.readlink("/proc/%d/fd/%s" % (pid, fd)) == "socket:[%s]" % inode:
                    return i
        except OSError:
            pass
    return None


class HttpServer:
    """One thread a connection; handler(method, path, body) -> (status, object), HANG or RESET."""

    def __init__(self, handler, port=0):
        self.handler = handler
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, port))
        self.sock.listen(256)
        self.port = self.sock.getsockname()[1]
        self.open = True
        self.conns = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while self.open:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.conns.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        f = conn.makefile("rb")
        try:
            peer.port = conn.getpeername()[1]
            while True:
                line = f.readline()
                if not line:
                    return
                method, path, _ = line.decode().split(" ", 2)
                length = 0
                while True:
                    h = f.readline()
                    if h in (b"\r\n", b"\n", b""):
                        break
                    k, v = h.decode().split(":", 1)
                    if k.lower() == "content-length":
                        length = int(v)
                body = f.read(length) if length else b""
                result = self.handler(method, path, body)
                if result is HANG:
                    while conn.recv(4096):
                        pass
                    return
                if result is RESET:
                    return
                status, obj = result
                data = json.dumps(obj).encode()
                conn.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
        except (OSError, ValueError):
            pass
        finally:
            self.conns.discard(conn)
            try:
                conn.close()
            except OSError:
                pass

    def close(self):
        self.open = False
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
        for c in list(self.conns):
            try:
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def call(port, method, path, obj=None, timeout=5.0, raw=None):
    """Returns (status, object); (0, None) if there is no answer."""
    conn = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        body = raw if raw is not None else (json.dumps(obj) if obj is not None else None)
        conn.request(method, path, body=body, headers={"Content-Type": "application/json"} if body else {})
        resp = conn.getresponse()
        data = resp.read()
        try:
            return resp.status, json.loads(data)
        except ValueError:
            return resp.status, None
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        conn.close()


class State:
    """The state service. One port a controller, so that faults can be set for each."""

    def __init__(self, world, nodes):
        self.world = world
        self.lock = threading.Condition()
        self.round = 0
        self.keys = {}    # key -> (value, edition, pass)
        self.events = []  # (round, event)
        self.leases = {}  # id -> [until, life]
        self.next_lease = 1
        self.fault = [None] * nodes  # function(method, path, body) -> None, "503", "hang", "noanswer", ("late", s)
        self.value_max = int(world.settings["state"]["value_kb"] * 1024)
        self.txn_ops = world.settings["state"]["txn_ops"]
        self.servers = [HttpServer(lambda m, p, b, i=i: self.handle(i, m, p, b)) for i in range(nodes)]
        threading.Thread(target=self._expire, daemon=True).start()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for lease in [k for k, v in self.leases.items() if v[0] < now]:
                    self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.keys.items() if v[2] == lease]
        if gone:
            self.round += 1
            for k in gone:
                del self.keys[k]
                self.events.append((self.round, {"remove": k, "edition": self.round}))
            self.lock.notify_all()

    def restore_leases(self):
        """After an outage every lease has its full time again."""
        with self.lock:
            for v in self.leases.values():
                v[0] = time.monotonic() + v[1]

    def handle(self, node, method, path, body):
        fault = self.fault[node]
        action = fault(method, path, body) if fault else None
        if action == "503":
            if path.startswith("/changes"):
                return HANG  # open watches wait as in an outage; new ones are refused below
            return 503, {"error": "trouble"}
        if action == "refuse":
            return 503, {"error": "trouble"}
        if action == "hang":
            return HANG
        if isinstance(action, tuple) and action[0] == "late":
            threading.Timer(action[1], lambda: self.world.note("state", "carried out late", node=node, path=path,
                            result=self.execute(method, path, body))).start()
            return HANG
        if isinstance(action, tuple) and action[0] == "slow":
            time.sleep(action[1])
        result = self.execute(method, path, body)
        return HANG if action == "noanswer" else result

    def execute(self, method, path, body):
        url = urlsplit(path)
        if url.path == "/commit":
            return self.commit(json.loads(body))
        if url.path == "/holds":
            return self.hold(json.loads(body)["lifeMs"])
        if url.path.startswith("/holds/"):
            return self.renew(method, url.path)
        q = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/changes":
            return self.changes(q)
        if url.path == "/keys":
            return self.list(q)
        if url.path.startswith("/keys/"):
            with self.lock:
                key = url.path[6:]
                if key not in self.keys:
                    return 404, {"round": self.round}
                v, e, p = self.keys[key]
                return 200, dict({"key": key, "v": v, "edition": e}, **({"pass": p} if p else {}))
        return 400, {"error": "malformed"}

    def commit(self, txn):
        with self.lock:
            when, then = txn.get("when") or [], txn.get("then") or []
            for op in then:
                if op.get("pass") and op["pass"] not in self.leases:
                    return 400, {"error": "no such lease"}
                if "set" in op and len(json.dumps(op["v"], separators=(",", ":"))) > self.value_max:
                    return 400, {"error": "value too large"}
            if len(then) > self.txn_ops or len(when) > 4 * self.txn_ops:
                return 400, {"error": "too many"}
            failed = [c["key"] for c in when if (self.keys[c["key"]][1] if c["key"] in self.keys else 0) != c["edition"]]
            if failed:
                return 409, {"failed": failed, "round": self.round}
            if then:
                self.round += 1
                for op in then:
                    if "set" in op:
                        self.keys[op["set"]] = (op["v"], self.round, op.get("pass"))
                        self.events.append((self.round, {"set": op["set"], "v": op["v"], "edition": self.round}))
                    elif op["remove"] in self.keys:
                        del self.keys[op["remove"]]
                        self.events.append((self.round, {"remove": op["remove"], "edition": self.round}))
                self.lock.notify_all()
            return 200, {"round": self.round}

    def hold(self, life_ms):
        with self.lock:
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = [time.monotonic() + life_ms / 1000, life_ms / 1000]
            return 200, {"pass": lease}

    def renew(self, method, path):
        with self.lock:
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self._end(lease)
            else:
                self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
            return 200, {}

    def list(self, q):
        with self.lock:
            prefix, after, page = q["prefix"], q.get("from", ""), min(int(q.get("page", 1000)), 1000)
            keys = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
            rows, size = [], 0
            for k in keys[:page]:
                row = {"key": k, "v": self.keys[k][0], "edition": self.keys[k][1]}
                size += len(json.dumps(row))
                if rows and size > 512 * 1024:
                    break
                rows.append(row)
            return 200, {"rows": rows, "more": len(rows) < len(keys), "round": self.round}

    def changes(self, q):
        prefix, start = q["prefix"], int(q["from"])
        until = time.monotonic() + min(int(q.get("holdMs", 0)), 60000) / 1000
        with self.lock:
            while True:
                if len(self.events) > 10000 and start < self.events[-10000][0] - 1:
                    return 410, {"error": "too old"}
                events = [e for r, e in self.events[-10000:] if r > start and (e.get("set") or e["remove"]).startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"round": self.round, "events": events}
                self.lock.wait(left)


class Cloud:
    def __init__(self, world):
        self.world = world
        self.lock = threading.RLock()
        self.hires, self.machines, self.count = {}, {}, 0
        self.down = False
        self.server = HttpServer(self.handle)
        self.port = self.server.port

    def handle(self, method, path, body):
        if self.down:
            return 503, {"error": "trouble"}
        url = urlsplit(path)
        if url.path == "/flavors":
            return 200, {"builds": self.world.flavors}
        if url.path == "/hosts/release":
            names = json.loads(body)["paddocks"]
            self.world.note("cloud", "release", paddocks=names)
            for n in names:
                with self.lock:
                    w = self.machines.pop(n, None)
                if w:
                    if w.tasks:
                        self.world.released_with_work.append((n, len(w.tasks)))
                    w.end("released")
            return 200, {}
        if method == "POST":
            return self.hire(json.loads(body))
        q = {k: v[0] for k, v in parse_qs(url.query).items()}
        with self.lock:
            lag = self.world.settings["cloud"]["list_lag_s"]
            now = time.monotonic()
            names = sorted(n for n, w in self.machines.items() if n > q.get("from", "") and now - w.rented_at > lag)
            page = min(int(q.get("page", 500)), 500)
            rows = []
            for n in names[:page]:
                w = self.machines[n]
                rows.append({"id": n, "endpoint": w.endpoint, "build": w.build, "ground": w.ground, "loaners": w.loaners,
                             "status": "running" if w.up else "starting", "ageS": now - w.rented_at})
            return 200, {"paddocks": rows, "more": len(names) > page}

    def hire(self, req):
        with self.lock:
            if req["hire"] not in self.hires:
                left = self.world.capacity - len(self.machines)
                count = min(req["count"], 50, left)
                if count <= 0:
                    return 503, {"error": "no capacity"}
                names = []
                for _ in range(count):
                    self.count += 1
                    name = "vm-%06d" % self.count
                    w = Worker(self.world, name, req["build"], req["ground"], req["loaners"])
                    self.machines[name] = w
                    w.boot(self.world.boot_s)
                    names.append(name)
                self.hires[req["hire"]] = names
            self.world.note("cloud", "hire", request=req, paddocks=self.hires[req["hire"]])
            return 200, {"paddocks": self.hires[req["hire"]]}


class Task:
    def __init__(self, job, index, attempt):
        self.job, self.index, self.attempt = job, index, attempt
        self.state, self.cause, self.saved = "pulling", None, False
        self.since = time.monotonic()
        self.done_at = None

    @property
    def name(self):
        return "%s/%d" % (self.job["id"], self.index)


class Worker:
    """A machine and its worker, by the protocol page."""

    def __init__(self, world, name, build, ground, loaners):
        self.world, self.name, self.build, self.ground, self.loaners = world, name, build, ground, loaners
        self.rented_at = time.monotonic()
        self.up, self.gone = False, False
        self.lock = threading.RLock()
        self.server = HttpServer(self.handle)
        self.endpoint = "%s:%d" % (HOST, self.server.port)
        self.tasks = {}  # (name, attempt) -> Task
        self.results = set()  # tasks that have completed here
        self.images = set()
        self.stint, self.tally, self.token = 1, 0, 0
        self.node = 0
        self.deaf = False       # answers and direct commands are lost
        self.mute = False       # cannot reach any controller
        self.unreachable = False
        self.hung = False
        self.received = []      # direct commands, with the time of their arrival
        self.slow_answers = 0.0  # answers to reports arrive up to this many seconds later
        self.slow_orders = 0.0  # answers to direct commands arrive up to this many seconds later
        self.slow_reports = 0.0  # reports arrive up to this many seconds later
        self.slow_delivery = 0.0  # direct commands arrive up to this many seconds later
        self.recall = None      # when the cloud takes the machine away, if the worker knows
        self.failing = False    # every task that starts ends with an error
        self.late_orders = 0.0  # share of direct commands that are held up, unanswered, and carried out once
        self.changed = threading.Event()
        self.lease_from = None
        self.conn = None
        self.flavor = next(f for f in world.flavors if f["name"] == build)

    def boot(self, boot_s):
        threading.Timer(boot_s, self._start).start()

    def _start(self):
        if self.gone:
            return
        self.up = True
        self.lease_from = time.monotonic()
        self.node = random.randrange(len(self.world.ports))
        threading.Thread(target=self._report_loop, daemon=True).start()
        threading.Thread(target=self._task_loop, daemon=True).start()

    def end(self, why):
        with self.lock:
            self.gone = True
            for t in list(self.tasks.values()):
                self._off(t, why)
            self.tasks.clear()
        self.server.close()

    # ---- tasks ----
    def _on(self, t):
        self.world.task_on(t, self)

    def _off(self, t, why):
        if t.state in ("waiting", "running", "saving"):
            self.world.task_off(t, self, why)

    def _exit(self, t, cause, saved=False):
        self._off(t, cause)
        t.state, t.cause, t.saved = "exited", cause, saved
        if cause == "done":
            self.results.add(t.name)
            self.world.task_done(t, self)
        self.changed.set()

    def _task_loop(self):
        while not self.gone:
            time.sleep(0.05)
            with self.lock:
                now = time.monotonic()
                # A machine that hangs beyond its lease executes nothing more of this session, so its tasks count
                # as gone from then on.
                if now - self.lease_from > self.world.settings["workers"]["lease_s"]:
                    self.world.note(self.name, "lease expired", stint=self.stint, tasks=len(self.tasks))
                    self.world.lease_ends.append((self.name, [t.name for t in self.tasks.values()]))
                    for t in list(self.tasks.values()):
                        self._off(t, "lease expired")
                    self.tasks.clear()
                    self.stint += 1
                    self.lease_from = now
                    self.changed.set()
                if self.hung:
                    continue
                for t in list(self.tasks.values()):
                    self._step(t, now)

    def _step(self, t, now):
        job = t.job
        if t.state == "pulling" and now - t.since >= (0 if job["kit"] in self.images else job["pullGb"] / self.flavor["pullGbPerS"]):
            self.images.add(job["kit"])
            if t.name in self.results:
                self._exit(t, "done")
                return
            t.state, t.since = "waiting" if job["play"] == "gang" else "running", now
            self._on(t)
            self.changed.set()
        if t.state == "waiting":
            if self.world.gang_ready(t):
                t.state, t.since = "running", now
                self.changed.set()
            elif now - t.since > self.world.settings["workers"]["gang_wait_s"]:
                self._exit(t, "incomplete")
        if t.state == "running":
            if job["play"] == "gang" and self.world.gang_lost(t):
                if now - self.world.gang_lost(t) > self.world.settings["workers"]["gang_peer_s"] / 2:
                    self._exit(t, "mates_gone")
                return
            run_s = self.world.task_run_s(t) if self.world.task_run_s else self.world.run_s.get(job["id"])
            if self.failing and now - t.since > 0.5:
                self._exit(t, "error")
                return
            if job["play"] != "service" and run_s is not None and now - t.since >= run_s:
                self._exit(t, "done")
        if t.state == "saving" and now - t.since >= job["stowS"]:
            self._exit(t, "stopped", True)

    def execute(self, calls, route):
        if len(calls) > 20:
            self.world.note(self.name, "commands", route=route, count=len(calls), first=calls[0], last=calls[-1])
        for c in calls:
            key = (c["run"], c["kickoff"])
            if len(calls) <= 20:
                self.world.note(self.name, "command", route=route, **c)
            if self.world.on_command:
                self.world.on_command(self, route, c)
            t = self.tasks.get(key)
            if c["call"] == "start":
                if t:
                    continue
                job_id, index = c["run"].rsplit("/", 1)
                job = self.world.jobs.get(job_id)
                t = Task(job or {"id": job_id, "cpus": 0, "gpus": 0, "memGb": 0, "play": "sweep"}, int(index), c["kickoff"])
                self.tasks[key] = t
                self.changed.set()
                if not job or t.index >= job["runs"]:
                    t.state, t.cause = "exited", "unknown"
                elif any(o.name == t.name and o is not t and o.state != "exited" for o in self.tasks.values()):
                    t.state, t.cause = "exited", "busy"
                else:
                    live = [o for o in self.tasks.values() if o.state != "exited"]
                    for what, have in (("cpus", "cpus"), ("gpus", "gpus"), ("memGb", "memGb")):
                        if sum(o.job[what] for o in live) > self.flavor[have] + 1e-6:
                            t.state, t.cause = "exited", "no_room"
                            break
                if t.state == "pulling" and t.job["kit"] in self.images:
                    self._step(t, time.monotonic())  # the image is here: the task starts at once
            elif c["call"] == "halt" and t and t.state != "exited":
                if t.state == "running" and t.job["markS"] > 0 and c.get("leewayS", 0) >= t.job["stowS"]:
                    t.state, t.since = "saving", time.monotonic()
                elif not (t.state == "saving" and c.get("leewayS", 0) > 0):
                    self._exit(t, "stopped")
                self.changed.set()
            elif c["call"] == "clear" and t and t.state == "exited":
                del self.tasks[key]

    # ---- messages ----
    def report(self):
        self.tally += 1
        runs = []
        for t in self.tasks.values():
            row = {"run": t.name, "kickoff": t.attempt, "status": t.state}
            if t.state == "exited":
                row["cause"] = t.cause
                if t.saved:
                    row["saved"] = True
            runs.append(row)
        return {"paddock": self.name, "endpoint": self.endpoint, "build": self.build, "ground": self.ground,
                "loaners": self.loaners, "stint": self.stint, "tally": self.tally, "captaincy": self.token,
                "recallS": None if self.recall is None else max(0.0, self.recall - time.monotonic()), "runs": runs}

    def handle(self, method, path, body):
        while self.hung and not self.gone:
            time.sleep(0.05)
        if self.gone or not self.up:
            return RESET
        if self.deaf or self.unreachable:
            return HANG
        if self.world.link_filter:
            result = self.world.link_filter(self, method, path, body)
            if result is not None:
                return result
        self.note_size("request to " + path, len(body))
        if self.slow_delivery:
            time.sleep(random.uniform(0, self.slow_delivery))
        with self.lock:
            if path == "/status":
                return 200, self.report()
            req = json.loads(body)
            if "captaincy" not in req or "stint" not in req:
                return 400, {"error": "missing"}
            if self.late_orders and req.get("calls") and random.random() < self.late_orders:
                threading.Timer(random.uniform(2, 16), self.orders, (req,)).start()
                return HANG
            self.received.append((time.monotonic(), req))
            result = self.orders(req)
        if self.slow_orders:
            time.sleep(random.uniform(0, self.slow_orders))
        return result

    def restart(self, away_s):
        """The machine's worker ends, and a new one is there a moment later: no tasks, stint 1, no token seen."""
        with self.lock:
            self.world.note(self.name, "ends", tasks=[t.name for t in self.tasks.values()])
            self.up = False
            for t in list(self.tasks.values()):
                self._off(t, "worker ended")
            self.tasks.clear()
            self.results.clear()
        time.sleep(away_s)
        with self.lock:
            self.stint, self.tally, self.token = 1, 0, 0
            self.lease_from = time.monotonic()
            self.up = True
            self.changed.set()
            self.world.note(self.name, "is back")

    def orders(self, req):
        while self.hung and not self.gone:
            time.sleep(0.05)
        with self.lock:
            if self.gone:
                return RESET
            if req["captaincy"] < self.token or req["stint"] != self.stint:
                self.world.note(self.name, "orders refused", captaincy=req["captaincy"], stint=req["stint"],
                                own=[self.token, self.stint])
                return 409, self.report()
            if req["captaincy"] > self.token:
                self.token = req["captaincy"]
                self.changed.set()
            self.execute(req.get("calls") or [], "orders")
            return 200, self.report()

    def note_size(self, what, size):
        """No request body, and no line of a response to a worker, may be longer than 64 KiB."""
        if size > 64 * 1024:
            with self.world.lock:
                self.world.oversize.append((what, self.name, size))
            self.world.note(self.name, "longer than 64 KiB", what=what, bytes=size)

    def _post(self, port, report):
        """One report on the kept connection; (0, None) if there is no answer within 4 s."""
        try:
            if self.conn is None or self.conn.port != port:
                if self.conn:
                    self.conn.close()
                self.conn = http.client.HTTPConnection(HOST, port, timeout=4.0)
            text = json.dumps(report, separators=(",", ":"))
            if len(text) > 64 * 1024:
                self.world.note(self.name, "own report longer than 64 KiB", bytes=len(text), tasks=len(report["runs"]))
            self.conn.request("POST", "/checkin", text, {"Content-Type": "application/json"})
            resp = self.conn.getresponse()
            data = resp.read()
            if resp.status != 200:
                self.world.note(self.name, "report answered", status=resp.status, answer=data.decode("utf-8", "replace")[:200])
            self.note_size("line of an answer to /checkin", max(map(len, data.split(b"\n"))))
            if resp.will_close:
                self.conn.close()
                self.conn = None
            return resp.status, json.loads(data)
        except (OSError, ValueError, http.client.HTTPException):
            if self.conn:
                self.conn.close()
            self.conn = None
            return 0, None

    def _report_loop(self):
        report_s = self.world.settings["workers"]["report_s"]
        while not self.gone:
            if self.hung or not self.up:
                time.sleep(0.05)
                continue
            with self.lock:
                self.changed.clear()
                report = self.report()
            sent = time.monotonic()
            if self.slow_reports:
                time.sleep(random.uniform(0, self.slow_reports))
            if self.mute or self.unreachable or self.world.blocked(self, self.node):
                time.sleep(4.0)  # no response
                status, resp = 0, None
            else:
                status, resp = self._post(self.world.worker_ports(self)[self.node], report)
                if self.slow_answers:
                    time.sleep(random.uniform(0, self.slow_answers))
                while self.hung and not self.gone:
                    time.sleep(0.05)
                if self.deaf:
                    status, resp = 0, None
            if self.gone:
                return
            if status == 200:
                with self.lock:
                    token = (resp or {}).get("captaincy")
                    if token is not None and token >= self.token and report["stint"] == self.stint and time.monotonic() - sent < 4:
                        self.token = token
                        self.lease_from = max(self.lease_from, sent)
                        self.execute(resp.get("calls") or [], "answer")
                wait = report_s * random.uniform(0.75, 1.25)
                time.sleep(min(0.5, wait))
                self.changed.wait(max(0, wait - 0.5))
                continue
            coach = (resp or {}).get("coach") if status == 421 else None
            if coach in self.world.names and self.world.names.index(coach) != self.node:
                self.node = self.world.names.index(coach)
            else:
                self.node = (self.node + 1) % len(self.world.ports)
                time.sleep(1.0)


class Link:
    """A proxy for one direction of connections; `cut`: bytes are held, and new connections hang."""

    def __init__(self, to_port):
        self.to_port, self.cut, self.refuse = to_port, False, False
        self.sock = socket.socket()
        self.sock.bind((HOST, 0))
        self.sock.listen(64)
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        while self.cut:
            time.sleep(0.02)
        if self.refuse:
            conn.close()
            return
        try:
            other = socket.create_connection((HOST, self.to_port), timeout=5)
        except OSError:
            conn.close()
            return
        other.settimeout(None)
        threading.Thread(target=self._pump, args=(conn, other), daemon=True).start()
        self._pump(other, conn)

    def _pump(self, a, b):
        try:
            while True:
                data = a.recv(65536)
                while self.cut:
                    time.sleep(0.02)
                if not data:
                    break
                b.sendall(data)
        except OSError:
            pass
        for s in (a, b):
            try:
                s.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


SETTINGS = {
    "teams": [{"name": "kassa", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 40.0},
              {"name": "donorbase", "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 40.0}],
    "objectives": [{"kind": "wait", "class": "fraud-scoring", "within_s": 25.0, "share": 0.9}],
    "workers": {"report_s": 2.0, "lease_s": 14.0, "gang_wait_s": 45.0, "gang_peer_s": 5.0, "cancel_s": 34.0},
    "state": {"rps": 120.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 8},
    "cloud": {"rps": 3.0, "list_lag_s": 10.0},
    "limits": {"cpu": 0.08, "memory_mb": 56.0, "fd_limit": 900},
    "clock_error_ms": 250.0,
}
FLAVORS = [{"name": "steppe-gpu", "cpus": 48, "gpus": 4, "memGb": 384, "cacheGb": 200, "pullGbPerS": 4.0, "price": 10.0,
            "marketPrice": 3.46, "bootS": 2, "grounds": ["almaty-1", "astana-1"]}]


class World:
    def __init__(self, record=None, nodes=3, settings=None, flavors=None, capacity=10, boot_s=1.5):
        self.lock = threading.RLock()
        self.began = time.monotonic()
        self.record = open(record, "w") if record else None
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.settings = json.loads(json.dumps(SETTINGS))
        for k, v in (settings or {}).items():
            self.settings[k] = v
        self.flavors, self.capacity, self.boot_s = flavors or FLAVORS, capacity, boot_s
        self.names = ["paddock-%d" % i for i in range(nodes)]
        self.zones = ["almaty-1", "astana-1", "almaty-1"][:nodes]
        self.settings["nodes"], self.settings["zones"] = nodes, ["almaty-1", "astana-1"]
        ports = free_ports(nodes * 2)
        self.ports, self.peer_ports = ports[:nodes], ports[nodes:]
        self.jobs, self.run_s = {}, {}
        self.on, self.events, self.done = {}, [], {}
        self.task_run_s = None  # function(task) -> run time, in place of the job's
        self.link_filter = None  # called with (worker, method, path, body) for each direct call; None: it gets through
        self.on_command = None  # called with (worker, route, command) for each command that is executed
        self.violations = []
        self.oversize = []      # messages of controllers to workers beyond 64 KiB
        self.released_with_work = []  # (machine, number of its tasks)
        self.lease_ends = []    # (machine, names of the tasks that ended with its lease)
        self.quiet = False      # tasks are not recorded one by one
        self.state, self.cloud = State(self, nodes), Cloud(self)
        self.links = {(a, b): Link(self.peer_ports[b]) for a in range(nodes) for b in range(nodes) if a != b}
        self.procs = [None] * nodes
        self.blocked_from = set()
        with open(os.path.join(REPO, "deploy", "service.toml")) as f:
            self.run_cmd = shlex.split(re.search(r'^run = "(.*)"', f.read(), re.M).group(1))

    # ---- record ----
    def note(self, who, event, **fields):
        if self.record:
            with self.lock:
                self.record.write("%8.3f %s: %s %s\n" % (time.monotonic() - self.began, who, event,
                                  json.dumps(fields) if fields else ""))
                self.record.flush()

    # ---- controllers ----
    def start(self, i):
        path = os.path.join(self.dir, "settings-%d.json" % i)
        with open(path, "w") as f:
            json.dump({"host_name": self.names[i], "domain": self.zones[i],
                       "client_listen": "%s:%d" % (HOST, self.ports[i]), "peer_listen": "%s:%d" % (HOST, self.peer_ports[i]),
                       "members": [{"host_name": self.names[j], "domain": self.zones[j],
                                    "endpoint": "%s:%d" % (HOST, self.links[i, j].port)}
                                   for j in range(len(self.names)) if j != i],
                       "outside": {"cloud": "%s:%d" % (HOST, self.cloud.port),
                                   "state": "%s:%d" % (HOST, self.state.servers[i].port)},
                       "settings": self.settings}, f)
        log = open(os.path.join(self.dir, "log-%d" % i), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        cmd = [os.path.join(REPO, self.run_cmd[0])] + self.run_cmd[1:] + [path]
        self.procs[i] = subprocess.Popen(cmd, cwd=REPO, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.note(self.names[i], "started", pid=self.procs[i].pid)

    def start_all(self):
        for i in range(len(self.names)):
            self.start(i)

    def kill(self, i):
        self.procs[i].kill()
        self.procs[i].wait()
        self.note(self.names[i], "killed")

    def stop(self, i):
        self.procs[i].send_signal(signal.SIGSTOP)
        self.note(self.names[i], "SIGSTOP")

    def cont(self, i):
        self.procs[i].send_signal(signal.SIGCONT)
        self.note(self.names[i], "SIGCONT")

    def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all(call(p, "GET", "/ready", timeout=1)[0] == 200 for p in self.ports):
                return True
            time.sleep(0.2)
        return False

    def close(self):
        for p in self.procs:
            if p and p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
                p.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.dir, ignore_errors=True)
        else:
            print(self.dir)
        if self.record:
            self.record.close()

    # ---- users ----
    def job(self, id, **fields):
        job = {"id": id, "squad": "donor-dedupe", "club": "donorbase", "play": "sweep", "rank": "standard", "runs": 1,
               "cpus": 10.0, "gpus": 1.0, "memGb": 72.0, "kit": "img-01", "pullGb": 0.4, "builds": None, "ground": None,
               "samePlace": False, "scatter": False, "loaners": False, "expectS": 50.0, "markS": 0.0, "stowS": 0.0,
               "whistleS": None}
        run_s = fields.pop("run_s", None)
        job.update(fields)
        self.jobs[id] = job
        self.run_s[id] = run_s
        return job

    def user(self, node, method, path, obj=None, timeout=5.0, raw=None):
        status, resp = call(self.ports[node], method, path, obj, timeout, raw)
        self.note("user", "%s %s" % (method, path), node=self.names[node], sent=obj, status=status, answer=resp)
        return status, resp

    def submit(self, job, node=0, tries=20):
        for k in range(tries):
            status, resp = self.user((node + k) % len(self.ports), "POST", "/api/jobs", job)
            if status in (200, 201, 400, 422):
                return status, resp
            time.sleep(1)
        return 0, None

    def poll(self, id, node=0):
        return self.user(node, "GET", "/api/jobs/" + id, timeout=2.0)

    def withdraw(self, id, node=0):
        return self.user(node, "POST", "/api/jobs/%s/withdraw" % id)

    # ---- what runs ----
    def worker_ports(self, worker):
        return self.ports

    def blocked(self, worker, node):
        return (worker.name, node) in self.blocked_from

    def workers(self):
        with self.cloud.lock:
            return list(self.cloud.machines.values())

    def task_on(self, t, w):
        with self.lock:
            others = [o for o in self.on.get(t.name, []) if o[1] is not w]
            if others:
                self.violations.append("ran_twice %s on %s while on %s" % (t.name, w.name, [o[1].name for o in others]))
                self.note("checker", "ran_twice", run=t.name, on=w.name, also_on=[o[1].name for o in others])
            self.on.setdefault(t.name, []).append((t, w))
            self.events.append((time.monotonic(), "on", t.name, t.attempt, w.name))
        if not self.quiet:
            self.note(w.name, "on machine", run=t.name, kickoff=t.attempt)

    def task_off(self, t, w, why):
        with self.lock:
            self.on[t.name] = [o for o in self.on.get(t.name, []) if o[0] is not t]
            self.events.append((time.monotonic(), "off", t.name, t.attempt, w.name))
        if not self.quiet:
            self.note(w.name, "off machine", run=t.name, kickoff=t.attempt, why=why)

    def task_done(self, t, w):
        with self.lock:
            done = self.done.setdefault(t.job["id"], set())
            done.add(t.index)
            if t.job["play"] == "gang":  # its tasks complete together
                done.update(range(t.job["runs"]))

    def running(self, id):
        with self.lock:
            return [(o[0], o[1]) for n, l in self.on.items() if n.startswith(id + "/") for o in l]

    def gang_ready(self, t):
        with self.lock:
            have = {o[0].index for n, l in self.on.items() if n.startswith(t.job["id"] + "/") for o in l
                    if o[0].attempt == t.attempt and o[0].state in ("waiting", "running")}
            return len(have) == t.job["runs"]

    def gang_lost(self, t):
        """Since when a task of this running attempt is gone; None: all are there (or done)."""
        with self.lock:
            have = {o[0].index for n, l in self.on.items() if n.startswith(t.job["id"] + "/") for o in l
                    if o[0].attempt == t.attempt}
            have |= self.done.get(t.job["id"], set())
            key = (t.job["id"], t.attempt)
            lost = self.__dict__.setdefault("_lost", {})
            if len(have) == t.job["runs"]:
                lost.pop(key, None)
                return None
            return lost.setdefault(key, time.monotonic())
