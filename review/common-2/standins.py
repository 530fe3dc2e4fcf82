"""Stand-ins for the platform's store, its API and the engines, and a few relays on loopback.

They do what PROTOCOL.md says of a sound store, API and engine; a case changes one of them by
overriding a method or setting an attribute.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
RELAY = ROOT / "target/release/hickorycourse-relay"
HOST = "127.0.0.1"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
ZONE = "brazos-a"
CALLER_HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be played."""


_given_ports = set()


def free_port():
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((HOST, port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


class Record:
    """Writes `record.txt`, one line an event, with the time since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")

    def __call__(self, kind, **fields):
        at = time.monotonic() - self.started
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:8.3f} {kind} {words}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = unquote(parts.path)
        self.query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            body = await read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Serves HTTP/1.1 on a loopback port."""

    def __init__(self):
        self.port = free_port()
        self.server = None
        self.connections = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 24)

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.drop_connections()

    def drop_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            answer = await self.answer(request)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()


def to_json(value):
    return json.dumps(value).encode()


class Store(Server):
    """The platform's store."""

    def __init__(self):
        super().__init__()
        self.revision = 400
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 70_000
        self.changed = asyncio.Condition()
        self.era = None

    async def start(self):
        await super().start()
        self.expiry = asyncio.create_task(self._expire())

    def entry(self, key):
        item = self.items[key]
        return {"key": key, "data": base64.b64encode(item["data"]).decode(), "revision": item["revision"],
                "createdAt": item["created"], "leaseId": item["lease"]}

    async def put(self, key, data, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"data": data, "revision": self.revision, "created": created, "lease": lease}
        self.history.append((self.revision, self.entry(key)))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, {"key": key, "revision": self.revision, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()

    async def put_json(self, key, value):
        return await self.put(key, to_json(value))

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [lease for lease, (_, until) in self.leases.items() if until < now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self.remove(key)
        return True

    def reply(self, status, value):
        headers = [("Content-Type", "application/json")]
        if self.era is not None:
            headers.append(("Store-Era", self.era))
        return response(status, to_json(value), headers)

    async def answer(self, request):
        path = request.path
        if path == "/kv-key":
            key = request.query["key"]
            if key not in self.items:
                return self.reply(404, {"at": self.revision})
            return self.reply(200, {**self.entry(key), "at": self.revision})
        if path == "/kv-range":
            prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            entries = [self.entry(key) for key in keys[:500]]
            return self.reply(200, {"entries": entries, "hasMore": len(keys) > 500, "at": self.revision})
        if path == "/kv-watch":
            return await self.watch(request)
        if path == "/kv-lease":
            ttl_ms = max(1000, min(600_000, json.loads(request.body)["ttlMs"]))
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return self.reply(200, {"leaseId": self.next_lease, "ttlMs": ttl_ms})
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return self.reply(404, {})
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return self.reply(200, {"ttlMs": ttl_ms})
        if path.startswith("/kv-lease-end/"):
            ended = await self.end_lease(int(path.rsplit("/", 1)[1]))
            return self.reply(200 if ended else 404, {})
        if path == "/kv-txn":
            return await self.commit(json.loads(request.body))
        return self.reply(404, {})

    async def watch(self, request):
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            if after > self.revision:
                return self.reply(410, {})
            events = [event for revision, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return self.reply(200, {"events": events, "at": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, body):
        def revision_of(key):
            return self.items[key]["revision"] if key in self.items else 0

        if any(revision_of(row["key"]) != row["revision"] for row in body.get("expectedRev", [])):
            entries = [self.entry(row["key"]) if row["key"] in self.items else {"key": row["key"], "revision": 0}
                       for row in body["expectedRev"]]
            return self.reply(412, {"entries": entries})
        for write in body.get("write", []):
            if write.get("leaseId", 0) and write["leaseId"] not in self.leases:
                return self.reply(404, {})
        for write in body.get("write", []):
            await self.put(write["key"], base64.b64decode(write["data"]), write.get("leaseId", 0))
        for key in body.get("remove", []):
            await self.remove(key)
        return self.reply(200, {"revision": self.revision})


class Cloud(Server):
    """The platform's API for duties. Keeps the calls in the order of their arrival."""

    def __init__(self, record):
        super().__init__()
        self.record, self.calls = record, []

    async def answer(self, request):
        call = {"at": time.monotonic(), "path": request.path, "holder": request.header("x-duty-holder"),
                "fence": request.header("x-fencing-token"), "body": json.loads(request.body)}
        self.calls.append(call)
        self.record("duty", path=call["path"], holder=call["holder"], fence=call["fence"], body=request.body.decode())
        return response(200)


def seal(request_id):
    return f"3e1b.07.{request_id[:3]}.600.0.c9f2a4d1"


class Engine(Server):
    """An engine. Answers each request with a body that names its id; a case overrides `run`."""

    def __init__(self, name, service, record, version="v1"):
        super().__init__()
        self.name, self.service, self.record, self.version = name, service, record, version
        self.runs, self.sequence, self.phase, self.born = [], 0, "ready", int(time.time() * 1000)
        self.reports_start = True
        self.work_s = 0.02

    def entry(self):
        self.sequence += 1
        entry = {"backend": self.service, "address": self.address, "zone": ZONE, "version": self.version,
                 "batchSlots": 128, "phase": self.phase, "warmupLeftMs": 0, "seq": self.sequence}
        if self.reports_start:
            entry["born"] = self.born
        return entry

    def report(self):
        report = {"phaseName": "both", "modelList": [], "busy": False, "seq": 1, "queued": 0, "active": 0,
                  "kvUsage": 0, "kvSize": 900_000, "cacheHandles": 0}
        if self.reports_start:
            report["born"] = self.born
        return report

    async def serve(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            expected = request.header("x-expect-instance")
            if expected is not None and expected != self.name:
                writer.write(response(421, headers=[("X-Instance-Id", self.name)]))
            elif request.path == "/report":
                writer.write(response(200, to_json(self.report()), [("Content-Type", "application/json")]))
            elif request.path == "/healthz":
                writer.write(response(200, headers=[("X-Instance-Id", self.name)]))
            else:
                request_id = request.header("x-attempt-id", "")
                self.runs.append(request)
                self.record("run", engine=self.name, id=request_id, method=request.method, target=request.target,
                            tenant=request.header("x-tenant"), bytes=len(request.body))
                if not await self.run(request, reader, writer):
                    return
            await writer.drain()

    async def run(self, request, reader, writer):
        """Runs a request; returns whether the connection is kept."""
        await asyncio.sleep(self.work_s)
        request_id = request.header("x-attempt-id", "")
        body = f"answer to {request_id} ".encode().ljust(800, b".")
        writer.write(response(200, body, [("X-Attempt-Id", request_id), ("X-Response-Seal", seal(request_id))]))
        return True


def route(name, prefix, kind, service, **more):
    values = {"name": name, "hostname": CALLER_HOST, "prefix": prefix, "routeType": kind, "timeoutMs": 12_000,
              "sloMs": 400, "priorityClass": 1, "backend": service, "maxAttempts": 2, "public": False,
              "sessionAffinity": kind == "streaming", "resumable": kind == "streaming"}
    if kind == "streaming":
        values["itlTargetMs"] = 300
    return {**values, **more}


def configuration(version, routes, services, tenants=None):
    backends = []
    for name in services:
        backends.append({"name": name, "healthPath": "/healthz", "maxConns": 620, "protocol": "h1", "tlsEnabled": False})
    return {"version": version, "routes": routes, "backends": backends,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": TENANT, "apiKeys": [KEY], "priorityClass": 1}]}


class Relay:
    """One process of the program under test."""

    def __init__(self, name, site, zone=ZONE):
        self.name, self.site, self.zone = name, site, zone
        self.caller, self.ready, self.peer, self.metrics = (free_port() for _ in range(4))
        self.process = None
        self.log = site.folder / f"{name}.log"

    def settings(self):
        return {
            "instance": self.name, "availability_zone": self.zone,
            "caller_address": f"{HOST}:{self.caller}", "ready_address": f"{HOST}:{self.ready}",
            "metrics_address": f"{HOST}:{self.metrics}", "peer_address": f"{HOST}:{self.peer}",
            "store_address": self.site.store_address, "duty_address": self.site.cloud.address,
            "duties": ["usage"], "worker_threads": 1,
            "machine": {"memory_mib": 260, "descriptors": 4100},
            "bounds": {"apply_ms": 2000, "revocation_ms": 5000, "is_revocation_strict": True, "leaving_ms": 2000,
                       "stop_ms": 8000, "retry_ratio": 0.2, "retry_slack": 54, "retry_window_ms": 10000,
                       "cap_window_ms": 8000, "cap_overshoot": 0.1, "cap_slack": 140000, "lease_ms": 3000,
                       "lease_least_ms": 1000, "usage_window_ms": 5000, "usage_delay_ms": 10000},
        }

    async def start(self):
        path = self.site.folder / f"{self.name}.jsonc"
        path.write_text(json.dumps(self.settings()))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["HICKORYCOURSE_BOOT"] = str(path)
        self.output = open(self.log, "ab")
        starting = asyncio.ensure_future(asyncio.create_subprocess_exec(
            str(RELAY), cwd=ROOT, env=environment, stdout=self.output, stderr=self.output))
        try:
            self.process = await asyncio.shield(starting)
        except asyncio.CancelledError:
            # So that it is ended with the others.
            self.process = await starting
            raise
        self.site.record("relay_started", name=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.site.record("signal", name=self.name, number=int(number))
            self.process.send_signal(number)

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                answer = await asyncio.wait_for(
                    exchange(self.ready, b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"), 1)
                if answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def resident_mib(self):
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0


class Answer:
    def __init__(self, status, headers, body, complete, error=None):
        self.status, self.headers, self.body, self.complete, self.error = status, headers, body, complete, error

    def __repr__(self):
        return f"Answer({self.status}, complete={self.complete}, error={self.error}, body={self.body[:60]!r}...{len(self.body)})"


async def read_answer(reader, on_data=None):
    """Reads an answer as a strict client would."""
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b"", False, "closed without an answer")
    line, headers = head
    status = int(line.split(" ")[1])
    body = b""
    try:
        if status in (204, 304):
            pass
        elif "chunked" in headers.get("transfer-encoding", "").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
                if on_data is not None:
                    on_data(chunk[:-2])
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read(-1)
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, body + error.partial, False, "ended early")
    except ConnectionError as error:
        return Answer(status, headers, body, False, str(error))
    return Answer(status, headers, body, True)


async def exchange(port, data, on_data=None):
    reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 24)
    try:
        writer.write(data)
        await writer.drain()
        return await read_answer(reader, on_data)
    except ConnectionError as error:
        return Answer(0, {}, b"", False, str(error))
    finally:
        writer.close()


def request_bytes(request_id, method, path, body=b"", headers=(), deadline_ms=12_000, key=KEY):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {CALLER_HOST}", f"X-Attempt-Id: {request_id}",
             f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Site:
    """A store, an API, engines and relays."""

    def __init__(self, folder):
        self.case = Path(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.record = Record(folder)
        self.store, self.cloud = Store(), Cloud(self.record)
        self.store_address = None
        self.engines, self.relays, self.tasks = [], [], []

    async def start(self, config, relays=1, zones=None):
        if not RELAY.exists():
            raise CannotRun(f"{RELAY} is missing; run the build of deploy/system.toml")
        await self.store.start()
        await self.cloud.start()
        self.store_address = self.store_address or self.store.address
        for engine in self.engines:
            await engine.start()
            await self.store.put_json(f"servers/{engine.name}", engine.entry())
        await self.store.put_json("op/config", config)
        self.tasks.append(asyncio.create_task(self._beat()))
        for number in range(relays):
            zone = zones[number] if zones else ZONE
            self.relays.append(Relay(f"edge-{number + 1}", self, zone))
        for relay in self.relays:
            await relay.start()
        for relay in self.relays:
            await relay.wait_ready()
        await asyncio.sleep(1.5)

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            for engine in self.engines:
                if engine.server is not None and engine.phase != "gone":
                    await self.store.put_json(f"servers/{engine.name}", engine.entry())

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for relay in self.relays:
            if relay.process is not None and relay.process.returncode is None:
                relay.process.send_signal(signal.SIGCONT)
                relay.process.kill()
                await relay.process.wait()
        for server in [self.store, self.cloud, *self.engines]:
            await server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(play):
    """Runs `play(trouble)`, which returns a list of what broke the rule; exits as the cases have to."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        return await asyncio.wait_for(play(trouble), 115)

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # Whatever it is, the rule was not seen to break.
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        print("broken:", line)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
