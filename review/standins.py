"""Stand-ins for the scripts of the review: the platform's store, its servers and a supervisor of routers.

Only the standard library is used. Every listener is on 127.0.0.1.
"""

import asyncio
import hashlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
ROUTER = os.path.join(ROOT, "target", "release", "catkin-entry")
HOST = "ledger.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_SECONDS = 1.2


def free_port():
    """Returns a port that was free for TCP and UDP a moment ago."""
    while True:
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            stream.bind(("127.0.0.1", 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """Writes one line for each thing that happened, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads a head and its body; returns the first line, the fields in lower case and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += data[:-2]
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


def encode_answer(status, fields, body):
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: objects by kind and name, one revision counter, watches."""

    def __init__(self):
        self.objects = {}
        self.changes = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.port = None
        self.server = None
        self.cuts = 0
        self.watches = 0

    async def cut_watches(self):
        """Cuts off all watches that are waiting: their channels end without an answer."""
        waiting = self.watches
        self.cuts += 1
        async with self.changed:
            self.changed.notify_all()
        return waiting

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known["Spec"] == spec:
            return known
        self.revision += 1
        created = known["Metadata"]["Created"] if known else self.revision
        entry = {
            "Metadata": {
                "Name": name,
                "Revision": self.revision,
                "Created": created,
                "Finalizers": [],
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self.objects[kind, name] = entry
        await self.tell(kind, {"Object": entry, "Removed": False})
        return entry

    async def remove(self, kind, name):
        entry = self.objects.pop((kind, name))
        self.revision += 1
        metadata = dict(entry["Metadata"], Revision=self.revision)
        await self.tell(kind, {"Object": dict(entry, Metadata=metadata), "Removed": True})

    async def tell(self, kind, event):
        self.changes.append((self.revision, kind, event))
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                method, target, _ = line.split(" ")
                status, answer = await self.answer(method, target, body)
                if status is None:
                    return
                text = json.dumps(answer).encode()
                writer.write(encode_answer(status, [("Content-Type", "application/json")], text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        words = path.removeprefix("/v1/objects/").split("/")
        kind, name = words[0], words[1] if len(words) > 1 else None
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
        if method == "GET" and name is None:
            names = sorted(known for held, known in self.objects if held == kind)
            names = [known for known in names if known > query.get("AfterRevision", "")]
            entries = [self.objects[kind, known] for known in names[:500]]
            return 200, {"Entries": entries, "HasMore": len(names) > 500, "AsOf": self.revision}
        given = json.loads(body) if body else {}
        name = name or given["Metadata"]["Name"]
        known = self.objects.get((kind, name))
        if method == "POST":
            return (409, known) if known else (200, await self.put(kind, name, given["Spec"]))
        if known is None:
            return 404, {}
        required = given.get("Metadata", {}).get("Revision", query.get("Revision"))
        if method != "GET" and required is not None:
            if int(required) != known["Metadata"]["Revision"]:
                return 409, known
        if method == "PUT" and len(words) == 2:
            return 200, await self.put(kind, name, given["Spec"])
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        return 200, known

    async def watch(self, kind, since, wait_millis):
        until = asyncio.get_running_loop().time() + wait_millis / 1000
        cuts = self.cuts
        self.watches += 1
        try:
            return await self.wait_for_events(kind, since, until, cuts)
        finally:
            self.watches -= 1

    async def wait_for_events(self, kind, since, until, cuts):
        while True:
            if cuts != self.cuts:
                return None, None
            events = [event for at, held, event in self.changes if at > since and held == kind]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def whole_body(path, size):
    """The body of the answer to `path`, of `size` bytes: numbered lines, so that a splice shows."""
    lines = size // 31 + 1
    mark = hashlib.sha256(path.encode()).hexdigest()[:12]
    return b"".join(b"%s %017d\n" % (mark.encode(), number) for number in range(lines))[:size]


class Server:
    """A server as a process of its own, which this one starts, kills and registers in the store."""

    def __init__(self, fleet, name, service, zone, slots, program, arguments):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.slots, self.program, self.arguments = slots, program, arguments
        self.port = free_port()
        self.process = None
        self.sequence = 0
        self.born = 0
        self.log = os.path.join(fleet.folder, f"{name}.log")

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        command = [sys.executable, self.program, "server", self.name, str(self.port), self.log]
        self.process = subprocess.Popen(command + self.arguments)
        await wait_for_port(self.port)
        await self.register()

    async def register(self):
        self.sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        await self.fleet.store.put("servers", self.name, entry)

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process = None

    def records(self):
        """What the server wrote: one JSON value a line."""
        if not os.path.exists(self.log):
            return []
        with open(self.log, encoding="utf-8") as file:
            return [json.loads(line) for line in file if line.endswith("\n")]


async def wait_for_port(port):
    for _ in range(500):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.01)
    raise RuntimeError(f"nothing listens on port {port}")


class Router:
    """A router process, with settings as the template of the deploy file gives them."""

    def __init__(self, fleet, name, zone):
        self.fleet, self.name = fleet, name
        ports = [f"127.0.0.1:{free_port()}" for _ in range(4)]
        self.callers, self.ready, self.peers, self.metrics = ports
        self.port = int(self.callers.rsplit(":", 1)[1])
        self.path = os.path.join(fleet.folder, f"{name}.json")
        self.process = None
        self.settings = {
            "vm": name,
            "domain": zone,
            "callers": self.callers,
            "ready": self.ready,
            "peers": self.peers,
            "metrics": self.metrics,
            "store": f"127.0.0.1:{fleet.store.port}",
            "grace_seconds": 8,
            "retry_ratio": 0.2,
            "retry_extra": 56,
            "load_factor": 2,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                "tenants", "platform",
            ],
            "first_start": True,
            "link_megabits": 1000,
            "cpu_share": 0.25,
            "memory_megabytes": 260,
            "descriptors": 4100,
        }

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([ROUTER, self.path], stdout=log, stderr=log)
        log.close()

    async def wait_until_ready(self):
        for _ in range(1000):
            if await self.is_ready():
                return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} does not become ready")

    async def is_ready(self):
        try:
            port = int(self.ready.rsplit(":", 1)[1])
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def resident_megabytes(self):
        """Memory of the process, in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0

    def signal(self, number):
        self.process.send_signal(number)


class Fleet:
    """Store, servers and routers of one script, with a temporary folder."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.servers, self.routers = [], []
        self.tasks = []

    async def start(self, config, servers, routers):
        """Starts servers, given as (name, service, zone, slots, program, arguments), and routers."""
        await self.store.start()
        await self.store.put("config", "main", config)
        for row in servers:
            server = Server(self, *row)
            self.servers.append(server)
            await server.start()
        for index in range(routers):
            router = Router(self, f"edge-{index + 1}", f"zone-{'ab'[index % 2]}")
            self.routers.append(router)
            router.start()
        for router in self.routers:
            await router.wait_until_ready()
        self.tasks.append(asyncio.create_task(self.beat()))
        # The routers tell one another of themselves.
        await asyncio.sleep(1.0)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for server in self.servers:
                if server.process is not None:
                    await server.register()

    def end(self):
        for task in self.tasks:
            task.cancel()
        for held in self.routers + self.servers:
            if held.process is not None:
                held.process.kill()
                held.process.wait()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def build_config(version, routes, services, body_bytes=4_194_304):
    """A config; routes are (name, prefix, kind, service, timeout, target, attempts, resumable)."""
    rows = []
    for name, prefix, kind, service, timeout, target, attempts, resumable in routes:
        row = {
            "Name": name,
            "Host": HOST,
            "PathPrefix": prefix,
            "Kind": kind,
            "Service": service,
            "TimeoutMs": timeout,
            "TargetLatencyMs": target,
            "MaxAttempts": attempts,
            "Priority": 1,
        }
        if kind == "streaming":
            row.update({"TargetGapMs": 500, "Resumable": resumable})
        rows.append(row)
    return {
        "Version": version,
        "Routes": rows,
        "Services": [
            {"Name": name, "HealthPath": "/healthz", "MaxConnections": limit}
            for name, limit in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": body_bytes,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


def encode_request(method, path, request_id, deadline_millis, body=b"", fields=()):
    """Encodes a request as the pages show it."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Catkinpitch-Request-Id: {request_id}",
        f"X-Catkinpitch-Deadline-Ms: {deadline_millis}",
        f"X-Catkinpitch-Credential: {KEY}",
    ]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def run_server(name, port, log_path, handle):
    """Runs a server: answers status checks itself and gives requests to `handle`."""
    log = open(log_path, "a", encoding="utf-8")

    def write(**row):
        log.write(json.dumps(row) + "\n")
        log.flush()

    async def serve(reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, path, _ = line.split(" ")
                if path in ("/healthz", "/v1/report", "/v1/kv-list"):
                    text = b'{"epoch":1,"NextToken":0,"held":[]}'
                    writer.write(encode_answer(200, [("X-Catkinpitch-Instance-Id", name)], text))
                    await writer.drain()
                    continue
                request_id = fields.get("x-catkinpitch-request-id", "")
                if fields.get("x-catkinpitch-expect-instance", name) != name:
                    row = [("X-Catkinpitch-Request-Id", request_id)]
                    writer.write(encode_answer(421, row, b""))
                    await writer.drain()
                    continue
                write(event="run", server=name, id=request_id, path=path, at=time.time())
                await handle(name, method, path, fields, body, writer, write)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", port, limit=1 << 20)
    async with server:
        await server.serve_forever()


def run_script(main):
    """Runs a script's `main(fleet, record, trouble)`, which returns whether the rule was broken."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(record)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(main(fleet, record, trouble), 115)
        finally:
            fleet.end()

    try:
        broken = asyncio.run(run())
    except BaseException as error:  # Any failure of the script itself is no verdict on the rule.
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.write("verdict: the rule was broken" if broken else "verdict: the rule held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
