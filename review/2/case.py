"""Resumable streams, of which servers spoil a few with a run of bytes that ends no event."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

import standins as stand  # noqa: E402

SERVERS = 7
# Servers that spoil streams: a share of 2/7, below 0.35.
FAULTY = 2
# Each of them spoils one answer in so many, a share of 0.02, for so long.
SPOILED_PERIOD = 50
SPOILED_FROM = 4.0
SPOILED_FOR = 5.5
EVENTS = 40
EVENT_SECONDS = 0.01
SPOILED_BYTES = 400_000
CALLERS = 80
SECONDS = 13.0
DEADLINE_MILLIS = 12_000


class FAULT:
    """When this server begins to spoil answers, and how many it has given since."""

    start = float("inf")
    answers = 0


def encode_event(path, number):
    return f"id: {number}\ndata: {path} piece {number}\n\n".encode()


async def handle(name, method, path, fields, body, writer, write):
    request_id = fields["x-catkinpitch-request-id"]
    spoils = False
    if FAULT.start <= time.time() < FAULT.start + SPOILED_FOR:
        FAULT.answers += 1
        spoils = FAULT.answers % SPOILED_PERIOD == 0
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Catkinpitch-Request-Id: {request_id}\r\n"
        f"X-Catkinpitch-Server-Seal: {name}.{request_id}\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    first = int(fields.get("last-event-id", "0")) + 1
    for number in range(first, EVENTS + 1):
        event = encode_event(path, number)
        if spoils and number == EVENTS // 2:
            write(event="spoiled", server=name, id=request_id, after=number - 1)
            event = b"#" * SPOILED_BYTES
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    write(event="answered", server=name, id=request_id)


async def main(fleet, record, trouble):
    routes = [("query", "/query/", "streaming", "pool", 12_000, 500, 2, True)]
    config = stand.build_config(3, routes, [("pool", 370)])
    program = os.path.abspath(__file__)
    # The servers and the routers are up within 2 s.
    spoiled_from = time.time() + 2 + SPOILED_FROM
    rows = []
    for number in range(SERVERS):
        zone = f"zone-{'ab'[number % 2]}"
        start = spoiled_from if trouble and number < FAULTY else float("inf")
        rows.append((f"i-{number}", "pool", zone, 64, program, [str(start)]))
    await fleet.start(config, rows, 2)
    loop = asyncio.get_running_loop()
    began = loop.time()
    counts = {"whole": 0, "wrong": 0, "cut": 0, "refused": 0}

    async def call(number):
        router = fleet.routers[number % len(fleet.routers)]
        sent = 0
        while loop.time() - began < SECONDS:
            request_id = f"{number:04x}{sent:012x}"
            path = f"/query/{number}-{sent}"
            sent += 1
            verdict, detail = await send(router.port, path, request_id)
            counts[verdict] += 1
            record.write(f"request={request_id} router={router.name} {verdict} {detail}")

    await asyncio.gather(*(call(number) for number in range(CALLERS)))
    for server in fleet.servers:
        for row in server.records():
            record.write(f"server={server.name} {row}")
    record.write(f"counts: {counts}")
    if counts["whole"] < 100:
        raise RuntimeError(f"too few whole answers: {counts}")
    return counts["wrong"] > 0


async def send(port, path, request_id):
    """Sends a request on a channel of its own and compares the stream with the server's events."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
    try:
        fields = [("Connection", "close"), ("Content-Type", "text/plain")]
        request = stand.encode_request("POST", path, request_id, DEADLINE_MILLIS, b"q", fields)
        writer.write(request)
        line, _, body = await asyncio.wait_for(stand.read_message(reader), 20)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return "cut", repr(error)
    finally:
        writer.close()
    status = int(line.split(" ")[1])
    if status != 200:
        return "refused", f"status={status} body={body[:80]!r}"
    whole = b"".join(encode_event(path, number) for number in range(1, EVENTS + 1))
    if body == whole:
        return "whole", f"status=200 bytes={len(body)}"
    blocks = [block for block in body.split(b"\n\n") if block]
    ids = [block.split(b"\n")[0] for block in blocks if block.startswith(b"id: ")]
    missing = [n for n in range(1, EVENTS + 1) if b"id: %d" % n not in ids]
    odd = next((block for block in blocks if not block.startswith(b"id: ")), b"")
    return "wrong", (
        f"status=200 bytes={len(body)} of {len(whole)}, complete; pieces missing: {missing}; "
        f"block without an id: {len(odd)} bytes, {odd[:8]!r}..{odd[-40:]!r}"
    )


if __name__ == "__main__":
    if sys.argv[1:2] == ["server"]:
        FAULT.start = float(sys.argv[5])
        asyncio.run(stand.run_server(sys.argv[2], int(sys.argv[3]), sys.argv[4], handle))
    else:
        stand.run_script(main)
