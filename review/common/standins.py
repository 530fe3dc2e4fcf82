"""Stand-ins for the platform, its store and the engines, and the relays as separate processes.

Everything listens on loopback addresses and free ports. The relays are started with the command and the
settings template of the deploy file.
"""

import base64
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"

# Bounds of the site file pruett-wheelyard (small).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "strictRevocation": True, "revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
    "budgetSlack": 54, "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaSlack": 140000,
    "fencingEnforced": False, "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageError": 0.05,
    "usageDelayS": 10, "recoveryS": 12, "eventDelayMs": 120, "reuseWindowS": 10,
}
HEARTBEAT_S = 1.2
# Ports that this process has given to a relay.
TAKEN_PORTS = set()
# The names of the duties `metering` and `autoscale` after deploy/wire.toml.
DUTIES = ["usage", "capacity"]


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start; written to record.txt."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f}  {text}\n")
            self.file.flush()


def free_ports(count):
    """Returns ports below the range of ephemeral ports that are free for TCP and UDP at the moment."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        if port in TAKEN_PORTS:
            continue
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        ports.append(port)
    return ports


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def read_body(self):
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            body = b""
            while True:
                size = int(self.rfile.readline().split(b";")[0], 16)
                part = self.rfile.read(size)
                self.rfile.readline()
                if size == 0:
                    return body
                body += part
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, headers, body):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class Store:
    """The platform's metadata store, and the address of the platform's duties."""

    def __init__(self, record, era=None):
        self.record = record
        self.changed = threading.Condition()
        self.revision = 1
        self.entries = {}  # key: [data, revision, createdAt, lease]
        self.history = []  # (revision, key)
        self.leases = {}  # id: [end, ttl]
        self.next_lease = 0
        self.era = era
        self.is_down = False
        self.copies = []  # (time, copy)
        self.duty_calls = []
        self.servers = []
        self.address = self.listen()
        self.duty_address = self.listen()
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def listen(self):
        store = self

        class StoreHandler(Handler):
            def do(self):
                body = self.read_body()
                store.serve(self, body)

            do_GET = do_POST = do_DELETE = do

        server = Server((HOST, 0), StoreHandler)
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
        return f"{HOST}:{server.server_address[1]}"

    def put(self, key, value):
        """Writes a value as the operator and the engines do; returning is the acknowledgement."""
        with self.changed:
            self.write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.delete(key)
            self.changed.notify_all()

    def write(self, key, data, lease):
        self.revision += 1
        created = self.entries[key][2] if key in self.entries else self.revision
        self.entries[key] = [data, self.revision, created, lease]
        self.history.append((self.revision, key))

    def delete(self, key):
        if self.entries.pop(key, None):
            self.revision += 1
            self.history.append((self.revision, key))

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            for key in [key for key, entry in self.entries.items() if entry[3] == lease]:
                self.delete(key)

    def expire_leases(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                ended = [lease for lease, (end, _) in self.leases.items() if end < time.monotonic()]
                if not self.is_down and ended:
                    for lease in ended:
                        self.end_lease(lease)
                    self.changed.notify_all()

    def take_copy(self):
        with self.changed:
            entries = {key: list(entry) for key, entry in self.entries.items()}
            leases = {lease: list(times) for lease, times in self.leases.items()}
            self.copy = (self.revision, entries, leases, time.monotonic())

    def go_down(self):
        with self.changed:
            self.is_down = True
            self.changed.notify_all()

    def come_back_from_copy(self):
        """Comes back from the copy: what was written since is gone, revisions are given out again, the era
        rises by one."""
        with self.changed:
            self.revision, self.entries, self.leases, taken = self.copy
            for times in self.leases.values():
                times[0] += time.monotonic() - taken  # paused since the copy was taken
            self.history = [(revision, key) for revision, key in self.history if revision <= self.revision]
            self.era += 1
            self.is_down = False
            self.changed.notify_all()

    def come_back(self):
        with self.changed:
            self.is_down = False
            self.changed.notify_all()

    def item(self, key):
        data, revision, created, lease = self.entries[key]
        return {"key": key, "data": data, "revision": revision, "createdAt": created, "leaseId": lease}

    def serve(self, handler, body):
        path, _, query = handler.path.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        query = {name: re.sub("%(..)", lambda m: chr(int(m[1], 16)), value) for name, value in query.items()}
        if path in ("/usage", "/scale"):
            call = (time.monotonic(), path, handler.headers["X-Duty-Holder"],
                    int(handler.headers["X-Fencing-Token"]), json.loads(body))
            with self.changed:
                self.duty_calls.append(call)
            self.record.write(f"platform: {path} from {call[2]}, token {call[3]}: {body.decode()}")
            return handler.answer(200, [], b"{}")
        if self.is_down:
            handler.close_connection = True
            return
        body = json.loads(body) if body else {}
        with self.changed:
            answer = self.handle(handler.command, path, query, body)
        if answer is None:
            handler.close_connection = True
            return
        headers = [("Content-Type", "application/json")]
        if self.era is not None:
            headers.append(("Store-Era", str(self.era)))
        handler.answer(answer[0], headers, json.dumps(answer[1]).encode())

    def handle(self, method, path, query, body):
        if path == "/kv-key":
            key = query.get("key", "")
            return (200, self.item(key)) if key in self.entries else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.entries
                          if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
            page = [self.item(key) for key in keys[:500]]
            return 200, {"entries": page, "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            return self.watch(query)
        if path == "/kv-txn":
            return self.commit(body)
        if path == "/kv-lease":
            self.next_lease += 1
            lease, ttl_ms = self.next_lease, body["ttlMs"]
            self.leases[lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms]
            return 200, {"leaseId": lease, "ttlMs": ttl_ms}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][0] = time.monotonic() + self.leases[lease][1] / 1000
            return 200, {"ttlMs": self.leases[lease][1]}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
            self.changed.notify_all()
            return 200, {}
        return 404, {}

    def watch(self, query):
        after, era = int(query["after"]), self.era
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if self.is_down:
                return None
            if era != self.era or after > self.revision:
                return 410, {}
            events, seen = [], set()
            for revision, key in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(query.get("prefix", "")) and key not in seen:
                    seen.add(key)
                    events.append(self.item(key) if key in self.entries
                                  else {"key": key, "revision": revision, "deleted": True})
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "at": self.revision}
            self.changed.wait(left)

    def commit(self, body):
        rows = body.get("expectedRev", [])
        current = [self.entries[row["key"]][1] if row["key"] in self.entries else 0 for row in rows]
        if any(row["revision"] != now for row, now in zip(rows, current)):
            return 412, {"entries": [self.item(row["key"]) for row in rows if row["key"] in self.entries]}
        writes = body.get("write", [])
        if any(row.get("leaseId") and row["leaseId"] not in self.leases for row in writes):
            return 404, {}
        for row in writes:
            self.write(row["key"], row["data"], row.get("leaseId", 0))
        for key in body.get("remove", []):
            self.delete(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}


class Engine:
    """An engine that answers after `work_ms`, and registers itself in the store."""

    def __init__(self, record, store, name, service, zone, work_ms=10, version="v1"):
        self.record, self.store, self.name, self.service, self.zone = record, store, name, service, zone
        self.work_ms, self.version = work_ms, version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, attempt id, headers)
        self.active = 0
        self.lock = threading.Lock()
        self.phase = "ready"
        engine = self

        class EngineHandler(Handler):
            def do(self):
                engine.serve(self, self.read_body())

            do_GET = do_POST = do

        self.server = Server((HOST, 0), EngineHandler)
        self.address = f"{HOST}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        self.register()
        threading.Thread(target=self.beat, daemon=True).start()

    def register(self):
        self.sequence += 1
        self.store.put(f"servers/{self.name}", {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": self.version,
            "batchSlots": 64, "phase": self.phase, "warmupLeftMs": 0, "seq": self.sequence, "born": self.born,
        })

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            if not self.store.is_down:
                self.register()

    def serve(self, handler, body):
        headers = handler.headers
        attempt = headers.get("X-Attempt-Id")
        base = [("X-Attempt-Id", attempt or ""), ("X-Instance-Id", self.name)]
        if headers.get("X-Expect-Instance", self.name) != self.name:
            return handler.answer(421, base, b"")
        if attempt is None:
            return handler.answer(400, base + [("X-Not-Executed", "1")], b"")
        self.run(handler, attempt, base, body)

    def run(self, handler, attempt, base, body):
        with self.lock:
            self.active += 1
            self.runs.append((time.monotonic(), attempt, {name.lower(): value for name, value in handler.headers.items()}))
        self.record.write(f"{self.name}: runs {attempt} {handler.command} {handler.path} "
                          f"for {handler.headers.get('X-Tenant')}")
        time.sleep(self.work_ms / 1000)
        with self.lock:
            self.active -= 1
        answer = f"{self.name} {attempt} done".encode()
        seal = [("X-Response-Seal", f"seal-{attempt}"), ("X-Server-Load", f"{self.active},0,64")]
        handler.answer(200, base + seal, answer)


class StreamEngine(Engine):
    """An engine whose answers are streams of `events` events, one each `pause_ms`; goes on after Last-Event-Id."""

    def __init__(self, *arguments, events=100, pause_ms=100, **options):
        self.events, self.pause_ms = events, pause_ms
        super().__init__(*arguments, **options)

    def event_text(self, event):
        return f"id: {event}\ndata: {self.name} piece {event}\n\n"

    def run(self, handler, attempt, base, body):
        last = int(handler.headers.get("Last-Event-Id", 0))
        with self.lock:
            self.active += 1
            self.runs.append((time.monotonic(), attempt,
                              {name.lower(): value for name, value in handler.headers.items()}))
        self.record.write(f"{self.name}: runs {attempt} {handler.command} {handler.path} after event {last}")
        try:
            handler.send_response(200)
            for name, value in base + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
                                       ("X-Response-Seal", f"seal-{attempt}"),
                                       ("X-Server-Load", f"{self.active},0,64")]:
                handler.send_header(name, value)
            handler.end_headers()
            for event in range(last + 1, self.events + 1):
                time.sleep(self.pause_ms / 1000)
                text = self.event_text(event).encode()
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
                handler.wfile.flush()
            handler.wfile.write(b"0\r\n\r\n")
            handler.wfile.flush()
        except OSError:
            handler.close_connection = True
            self.record.write(f"{self.name}: the connection of {attempt} has ended")
        finally:
            with self.lock:
                self.active -= 1


def render(template, fields):
    """Fills in a template of settings as DEPLOY.md tells."""
    def find(name, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else \
                    value[int(part)] if isinstance(value, list) and part.isdigit() else None
            if value is not None:
                return value
        return None

    def fill(text, scopes):
        def section(match):
            value = find(match[2], scopes)
            if match[1] == "^":
                return fill(match[3], scopes) if value in (None, False) else ""
            if value in (None, False):
                return ""
            return fill(match[3], scopes + [value if isinstance(value, dict) else {}])

        text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

        def plain(match):
            value = find(match[1], scopes)
            if match[2]:
                return json.dumps(value)
            if value is None:
                return ""
            if isinstance(value, (bool, dict)):
                return json.dumps(value)
            return ",".join(map(str, value)) if isinstance(value, list) else str(value)

        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", plain, text)

    return fill(template, [fields])


class Relay:
    """A relay process, started as the deploy file says."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        ports = free_ports(4)
        self.frontend, self.ready, self.peer, metrics = (f"{HOST}:{port}" for port in ports)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["relay"]
        with open(os.path.join(ROOT, role["template"])) as file:
            template = file.read()
        fields = {
            "nodeName": name, "role": "relay", "zone": zone, "ipAddress": HOST,
            "internalPortRange": ports[2:], "bounds": site.bounds,
            "listenAddrs": {"frontend": self.frontend, "ready": self.ready},
            "platform": {"address": site.store.address, "minTtlMs": 1000, "form": "kv"},
            "cloudApi": {"address": site.store.duty_address, "duties": DUTIES},
        }
        self.settings = os.path.join(site.folder, f"{name}.jsonc")
        with open(self.settings, "w") as file:
            file.write(render(template, fields))
        self.command = role["run"].split()
        self.process = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["HICKORYCOURSE_BOOT"] = self.settings
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        try:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        except OSError as error:
            raise CannotRun(f"cannot start {self.command}: {error}")
        self.site.record.write(f"{self.name}: started as process {self.process.pid}")
        return self

    def is_ready(self):
        connection = http.client.HTTPConnection(self.ready, timeout=1)
        try:
            connection.request("GET", "/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def signal(self, number):
        self.site.record.write(f"{self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()


class Site:
    """A small deployment: a store, engines and relays."""

    def __init__(self, case_folder, era=None, bounds=None):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.record.write(f"trouble: {self.trouble}")
        self.folder = tempfile.mkdtemp(prefix="hickorycourse-review-")
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store(self.record, era)
        self.relays, self.engines = [], []

    def add_engine(self, name, service, zone, **options):
        engine = options.pop("kind", Engine)(self.record, self.store, name, service, zone, **options)
        self.engines.append(engine)
        return engine

    def start_relays(self, zones):
        for index, zone in enumerate(zones):
            self.relays.append(Relay(self, f"edge-{zone}-{index + 1}", zone).start())
        self.await_ready(self.relays)

    def await_ready(self, relays, limit_s=20):
        end = time.monotonic() + limit_s
        while not all(relay.is_ready() for relay in relays):
            if time.monotonic() > end:
                raise CannotRun("the relays are not ready in time")
            time.sleep(0.05)

    def close(self):
        for relay in self.relays:
            relay.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, keys, services=("desk",), more=None):
    """The operator's configuration: for each service one route of each kind."""
    def route(service, kind, name, resumable=False):
        return {
            "name": f"{service}-{name}", "hostname": "desk.example", "prefix": f"/{service}/{name}/",
            "routeType": kind, "timeoutMs": 4000, "sloMs": 400, "priorityClass": 1, "backend": service,
            "maxAttempts": 1 if kind == "unsafe" else 2, "resumable": resumable, "itlTargetMs": 300,
        }

    routes = []
    for service in services:
        routes += [route(service, "safe", "look"), route(service, "unsafe", "order"),
                   route(service, "streaming", "chat"), route(service, "streaming", "draft", True)]
    return {
        "version": version, "routes": routes,
        "backends": [{"name": name, "healthPath": "/healthz", "maxConns": 200} for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 20000},
        "tenants": [{"name": f"tenant-{index}", "apiKeys": [key], "unit": "tokens", "uncachedTokens": 200,
                     "ratePerS": 0, "burstSize": 0} for index, key in enumerate(keys)],
        **(more or {}),
    }


def call(address, method, path, attempt, key, body=b"", deadline_ms=4000, timeout_s=6):
    """Sends one request on a new connection; returns (status, headers, body), or (0, {}, reason)."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        headers = {"Host": "desk.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        connection.close()


class Stream:
    """A consumer's stream: reads events until the last chunk, or until the connection breaks."""

    def __init__(self, address, path, attempt, key, deadline_ms, resumes=None, last=0):
        self.attempt, self.last, self.resumes = attempt, last, resumes
        self.status, self.headers, self.is_complete, self.events, self.failure = 0, {}, False, [], ""
        host, port = address.split(":")
        lines = [f"POST {path} HTTP/1.1", "Host: desk.example", f"X-Attempt-Id: {attempt}",
                 f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}", "Content-Length: 2"]
        if resumes:
            lines += [f"Last-Event-Id: {last}", f"Resumes: {resumes}"]
        try:
            with socket.create_connection((host, int(port)), timeout=deadline_ms / 1000) as connection:
                connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n{}")
                with connection.makefile("rb") as reader:
                    self.read(reader)
        except (OSError, ValueError) as error:
            self.failure = repr(error)

    def read(self, reader):
        self.status = int(reader.readline().split()[1])
        while (line := reader.readline().strip()):
            name, _, value = line.decode().partition(":")
            self.headers[name.lower()] = value.strip()
        if self.status != 200:
            self.failure = reader.read(int(self.headers.get("content-length", 0))).decode()
            return
        buffer = b""
        while True:
            size = int(reader.readline(), 16)
            part = reader.read(size)
            if len(part) < size or reader.readline() != b"\r\n":
                raise ValueError("the connection ended within a chunk")
            buffer += part
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                self.events.append(event.decode())
                self.last = int(re.search(rb"id: (\d+)", event)[1])
            if size == 0:
                self.is_complete = not buffer
                return


def main(case):
    """Runs a case; exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    def stop(*_):
        raise CannotRun("it was stopped, or took too long")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    site = None
    try:
        folder = os.environ["CASE_FOLDER"]
        site = Site(folder, **getattr(case, "options", {}))
        broken = case(site)
    except CannotRun as error:
        print(f"could not run: {error}")
        return 2
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        if site:
            site.close()
    for line in broken[:40]:
        site.record.write(f"BROKEN {line}")
    text = f"{'broken' if broken else 'held'}: {len(broken)} findings"
    site.record.write(text)
    print(text, *broken[:5], sep="\n  ")
    return 1 if broken else 0
