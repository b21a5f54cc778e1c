"""Stand-ins for the cases 6 to 10: the platform's store, servers and clients, and the code that starts routers.

Everything listens on loopback. Times are seconds of the monotonic clock, which all processes share. A case calls
`run_case`, which starts `Fleet`, runs the body of the case, writes record.txt and ends all processes.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ROUTER = os.path.join(ROOT, "target", "release", "catkin-entry")
IP = "127.0.0.1"
KEY = "key-of-team-1"
TEAM = "team-1"
HOST = "calls.example"
DRAIN_SECONDS = 2.0  # DrainMs of the small deployments


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def add(self, text, at=None):
        at = time.monotonic() if at is None else at
        self.lines.append((at, text))

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at - self.start:9.4f} {text}\n")


def free_ports(count):
    """Ports that are free for TCP and UDP, below those that the system gives to clients."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((IP, port))
                udp.bind((IP, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader):
    """Reads a message head; returns its first line and its fields in lower case, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body; the second value says whether it was complete."""
    try:
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"])), True
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += data[:-2]
        return b"", True
    except asyncio.IncompleteReadError as error:
        return error.partial, False
    except ConnectionError:
        return b"", False


class Store:
    """The platform's store: objects by kind and name, one revision counter, lists, watches, conditional writes."""

    def __init__(self, record):
        self.record = record
        self.revision = 5
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.watch_writers = []
        self.silent = False
        self.epoch = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def document(self, name, entry):
        revision, created, spec = entry
        metadata = {"Name": name, "Revision": revision, "Created": created, "Finalizers": [], "Deleting": False}
        return {"Metadata": metadata, "Spec": spec, "Status": None}

    async def put(self, kind, name, spec):
        """Creates or replaces an object and returns the time of the acknowledgement."""
        async with self.changed:
            self.revision += 1
            known = self.objects.setdefault(kind, {})
            created = known[name][1] if name in known else self.revision
            known[name] = (self.revision, created, spec)
            self.events.append((self.revision, kind, False, self.document(name, known[name])))
            self.changed.notify_all()
        return time.monotonic()

    async def remove(self, kind, name):
        async with self.changed:
            entry = self.objects.get(kind, {}).pop(name, None)
            if entry is not None:
                self.revision += 1
                entry = (self.revision, entry[1], entry[2])
                self.events.append((self.revision, kind, True, self.document(name, entry)))
                self.changed.notify_all()
        return time.monotonic()

    def cut_watches(self, kind):
        """Closes the connections of all watches of a kind that wait."""
        cut = [writer for found, writer in self.watch_writers if found == kind]
        for writer in cut:
            writer.close()
        return len(cut)

    def hush_channels(self):
        """Lets all open channels go silent for good, without a reset; new ones work."""
        self.epoch += 1

    async def serve(self, reader, writer):
        epoch = self.epoch
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body, whole = await read_body(reader, fields)
                if not whole:
                    return
                if self.silent or epoch != self.epoch:
                    return await asyncio.sleep(3600)
                method, target, _ = line.split(" ", 2)
                status, document = await self.answer(method, target, body, writer)
                if status is None:
                    return
                if epoch != self.epoch:
                    return await asyncio.sleep(3600)
                text = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body, writer):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) not in (3, 4):
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) == 4 else None
        known = self.objects.setdefault(kind, {})
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), float(query.get("WaitMs", 0)) / 1000, writer)
        if method == "GET" and name is None:
            after = query.get("AfterRevision", "")
            names = sorted(found for found in known if found > after)
            entries = [self.document(found, known[found]) for found in names]
            return 200, {"Entries": entries, "HasMore": False, "AsOf": self.revision}
        if method == "GET":
            return (200, self.document(name, known[name])) if name in known else (404, {})
        if method == "DELETE":
            if name not in known:
                return 404, {}
            if "Revision" in query and int(query["Revision"]) != known[name][0]:
                return 409, self.document(name, known[name])
            await self.remove(kind, name)
            return 200, {}
        document = json.loads(body)
        name = name or document["Metadata"]["Name"]
        wanted = document["Metadata"].get("Revision")
        if method == "POST" and name in known:
            return 409, self.document(name, known[name])
        if method == "PUT" and name not in known:
            return 404, {}
        if method == "PUT" and wanted not in (None, known[name][0]):
            return 409, self.document(name, known[name])
        await self.put(kind, name, document["Spec"])
        return 200, self.document(name, known[name])

    async def watch(self, kind, revision, wait, writer):
        until = time.monotonic() + wait
        waiting = (kind, writer)
        self.watch_writers.append(waiting)
        try:
            while True:
                events = [{"Removed": removed, "Object": document}
                          for at, found, removed, document in self.events if at > revision and found == kind]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AsOf": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
                if writer.is_closing():
                    return None, None
        finally:
            self.watch_writers.remove(waiting)


def server_entry(service, port, state="ready", born=None, slots=16):
    """The entry that a server writes about itself."""
    return {"Service": service, "Address": f"{IP}:{port}", "Zone": "zone-a", "Version": "v1", "Slots": slots,
            "State": state, "ColdRemainingMs": 0, "Sequence": 1, "born": born or int(time.time() * 1000)}


def build_config(version, routes, services=("desk",)):
    """A config. `routes` are tuples of prefix, kind, service and further fields."""
    listed = []
    for number, (prefix, kind, service, more) in enumerate(routes):
        route = {"Name": f"r-{number}", "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 15000,
                 "TargetLatencyMs": 500, "Priority": 1, "Service": service, "MaxAttempts": 1, "Public": False,
                 "Sticky": False, "Resumable": False}
        route.update(more)
        listed.append(route)
    declared = [{"Name": name, "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": False}
                for name in services]
    return {"Version": version, "Routes": listed, "Services": declared,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": TEAM, "ApiKeys": [KEY], "Priority": 1}]}


class Server:
    """A sound server in this process. It runs each request for `work` seconds."""

    slots = 16

    def __init__(self, fleet, name, service, work=0.015):
        self.fleet, self.name, self.service, self.work = fleet, name, service, work
        self.arrivals = []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, IP, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self):
        """Ends as a process does: no new connections, and the open ones are closed."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                _, whole = await read_body(reader, fields)
                if not whole:
                    return
                writer.write(await self.answer(line, fields))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, fields):
        path = line.split(" ")[1]
        if path == "/healthz":
            return b"HTTP/1.1 200 OK\r\nX-Catkinpitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name.encode()
        if path.startswith("/v1/"):
            return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
        request = fields.get("x-catkinpitch-request-id", "")
        echo = f"X-Catkinpitch-Request-Id: {request}\r\n"
        if fields.get("x-catkinpitch-expect-instance", self.name) != self.name:
            self.fleet.record.add(f"server {self.name}: 421 to {request}")
            return f"HTTP/1.1 421 Misdirected\r\n{echo}Content-Length: 0\r\n\r\n".encode()
        at = time.monotonic()
        self.arrivals.append((at, request))
        self.fleet.record.add(f"server {self.name}: runs {request}", at)
        await asyncio.sleep(self.work)
        body = f"{request} ran at {self.name}"
        return (f"HTTP/1.1 200 OK\r\n{echo}X-Catkinpitch-Server-Seal: seal.{request}\r\n"
                f"X-Catkinpitch-Server-Load: 1,0,16\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()


class ServerProcess:
    """A server in a process of its own, so that it can be killed. It answers with a stream of `EVENTS` events in
    chunks, and exits at SIGTERM once its last answer is whole. From SIGUSR1 to SIGUSR2, each `UNFRAMED_EACH`th
    answer that it begins has neither a length nor chunks and ends with its channel."""

    slots = 64

    def __init__(self, fleet, name, service):
        self.fleet, self.name, self.service = fleet, name, service

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.abspath(__file__), "server", self.name, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE)
        self.fleet.children.append(self.process)
        self.port = int(await self.process.stdout.readline())
        self.reading = asyncio.create_task(self.read_log())

    async def read_log(self):
        while line := await self.process.stdout.readline():
            at, text = line.decode().rstrip().split(" ", 1)
            self.fleet.record.add(f"server {self.name}: {text}", float(at))


EVENTS = 32
EVENT_GAP = 0.25
UNFRAMED_EACH = 20


def encode_events(request):
    return [f"id: {number}\ndata: {request} {number}\n\n".encode() for number in range(1, EVENTS + 1)]


async def serve_events(name):
    """The process of a `ServerProcess`."""
    open_answers, stopping, unframed = set(), asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, unframed.set)
    loop.add_signal_handler(signal.SIGUSR2, unframed.clear)
    begun = 0

    def log(text):
        print(f"{time.monotonic():.6f} {text}", flush=True)

    async def serve(reader, writer):
        nonlocal begun
        request = None
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                await read_body(reader, fields)
                request = fields.get("x-catkinpitch-request-id")
                if request is None or fields.get("x-catkinpitch-expect-instance", name) != name:
                    status = "404 Not Found" if request is None else "421 Misdirected"
                    writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                begun += unframed.is_set()
                framed = not unframed.is_set() or begun % UNFRAMED_EACH != 0
                log(f"runs {request}{'' if framed else ', answers without a length'}")
                open_answers.add(request)
                framing = "Transfer-Encoding: chunked" if framed else "Connection: close"
                writer.write((f"HTTP/1.1 200 OK\r\nX-Catkinpitch-Request-Id: {request}\r\n"
                              f"X-Catkinpitch-Server-Seal: seal.{request}\r\n"
                              f"Content-Type: text/event-stream\r\n{framing}\r\n\r\n").encode())
                for event in encode_events(request):
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event) if framed else event)
                    await writer.drain()
                    await asyncio.sleep(EVENT_GAP)
                log(f"ended {request} in full")
                open_answers.discard(request)
                if not framed:
                    return
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            open_answers.discard(request)

    server = await asyncio.start_server(serve, IP, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await stopping.wait()
    while open_answers:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    log("exits")


class Router:
    """A process of the command in deploy/system.toml."""

    def __init__(self, fleet, name):
        self.fleet, self.name, self.process = fleet, name, None
        self.callers, self.ready, self.peers, self.metrics = free_ports(4)
        settings = {
            "vm": name, "domain": "zone-a", "callers": f"{IP}:{self.callers}", "ready": f"{IP}:{self.ready}",
            "peers": f"{IP}:{self.peers}", "metrics": f"{IP}:{self.metrics}", "store": f"{IP}:{fleet.store.port}",
            "grace_seconds": 8, "retry_ratio": 0.2, "retry_extra": 54, "load_factor": 2,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform"],
            "first_start": True, "link_megabits": 1000.0, "cpu_share": 0.25, "memory_megabytes": 260,
            "descriptors": 4100}
        self.path = os.path.join(fleet.folder, f"{name}.json")
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "CATKINPITCH_NODE_FILE": self.path}
        self.process = await asyncio.create_subprocess_exec(
            ROUTER, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    async def wait_ready(self):
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(IP, self.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    """What a client got: status (None if the channel ended without a head), body, and whether it is complete."""

    def __init__(self, status, fields, body, complete):
        self.status, self.fields, self.body, self.complete = status, fields, body, complete


class Fleet:
    def __init__(self, record, routers=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="catkin-case-")
        self.store = Store(record)
        self.count = routers
        self.routers, self.servers, self.children = [], [], []

    async def start(self, config):
        await self.store.start()
        await self.store.put("config", "main", config)
        for server in self.servers:
            await server.start()
            server.born = int(time.time() * 1000)
            await self.store.put("servers", server.name,
                                 server_entry(server.service, server.port, born=server.born, slots=server.slots))
        for number in range(self.count):
            router = Router(self, f"edge-{number + 1}")
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            await router.wait_ready()

    async def send(self, router, method, path, request, fields="", body=b"", deadline=1500, timeout=20):
        """Sends a request on a new channel and reads its answer."""
        self.record.add(f"client: sends {request} ({method} {path}) to {router.name}")
        answer = Answer(None, {}, b"", False)
        try:
            reader, writer = await asyncio.open_connection(IP, router.callers)
            writer.write(
                (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Catkinpitch-Request-Id: {request}\r\n"
                 f"X-Catkinpitch-Deadline-Ms: {deadline}\r\nX-Catkinpitch-Credential: {KEY}\r\n{fields}"
                 f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            head = await asyncio.wait_for(read_head(reader), timeout)
            if head is not None:
                content, complete = await asyncio.wait_for(read_body(reader, head[1]), timeout)
                answer = Answer(int(head[0].split(" ")[1]), head[1], content, complete)
            writer.close()
        except (OSError, asyncio.TimeoutError) as error:
            self.record.add(f"client: {request}: {error!r}")
        text = answer.body[:60].decode("latin-1")
        self.record.add(f"client: {request} got {answer.status} complete={answer.complete} {text!r}")
        return answer

    async def stop(self):
        for router in self.routers:
            if router.process and router.process.returncode is None:
                router.process.kill()
                await router.process.wait()
        for child in self.children:
            if child.returncode is None:
                child.kill()
                await child.wait()
        for server in self.servers:
            if getattr(server, "server", None):
                server.server.close()
            if getattr(server, "reading", None):
                server.reading.cancel()
        if getattr(self.store, "server", None):
            self.store.server.close()


def run_case(folder, body, routers=1):
    """Runs a case: `body(fleet)` returns whether the rule was broken. Exits with 1 if it was, 0 if not, 2 if the
    case could not run."""
    record = Record()
    record.add(f"TROUBLE={'1' if trouble() else '0'}")

    async def run():
        fleet = Fleet(record, routers)
        try:
            return await asyncio.wait_for(body(fleet), 110)
        finally:
            await fleet.stop()
            if os.environ.get("KEEP"):
                print(fleet.folder)
            else:
                shutil.rmtree(fleet.folder, ignore_errors=True)

    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
    except Exception as error:  # the case could not run
        record.add(f"the case could not run: {error!r}")
        code = 2
    record.add(f"exit {code}")
    record.write(folder)
    print(f"exit {code}")
    sys.exit(code)


if __name__ == "__main__" and sys.argv[1:2] == ["server"]:
    asyncio.run(serve_events(sys.argv[2]))
