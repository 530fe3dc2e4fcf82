"""Model engines in one process: `engines.py PORT,PORT,... FRAMED FIRST [EVENTS STEP_S]`. They have the ids `i-FIRST` and up.

Each answers `GET /report` and streams of EVENTS events, from the one after `Last-Event-Id` on. With FRAMED = 1 an answer has a length or comes in chunks and its
connection is kept; with 0 it has neither and ends with its connection. Prints its start, in Unix milliseconds, once it serves.
"""

import asyncio
import json
import sys
import time

EVENTS = int(sys.argv[4]) if len(sys.argv) > 4 else 3
# Time to the first event, and between events.
FIRST_S = 0.0033
STEP_S = float(sys.argv[5]) if len(sys.argv) > 5 else FIRST_S


class Engine(asyncio.Protocol):
    def __init__(self, name, born, is_framed, loop, counts):
        self.name, self.born, self.is_framed, self.loop, self.counts = name, born, is_framed, loop, counts
        self.received = b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data
        while not self.transport.is_closing():
            end = self.received.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.received[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.received) < end + 4 + length:
                return
            self.received = self.received[end + 4 + length:]
            self.answer(lines[0].split(" ")[1], headers)

    def answer(self, path, headers):
        if headers.get("x-expect-instance", self.name) != self.name:
            self.send_whole("421 Misdirected Request", f"X-Instance-Id: {self.name}\r\n", b"")
        elif path == "/report":
            report = {"phaseName": "both", "modelList": [{"name": "m", "version": 1, "loras": []}], "busy": False, "seq": 1,
                      "queued": 0, "active": 0, "kvUsage": 0, "kvSize": 900_000, "cacheHandles": 0, "born": self.born}
            self.send_whole("200 OK", "Content-Type: application/json\r\n", json.dumps(report).encode())
        elif path == "/healthz":
            self.send_whole("200 OK", f"X-Instance-Id: {self.name}\r\n", b"")
        else:
            self.counts["run"] += 1
            request_id = headers.get("x-attempt-id", "")
            head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\nX-Response-Seal: 3e1b.07.{request_id}\r\n"
                    "Content-Type: text/event-stream\r\n")
            head += "Transfer-Encoding: chunked\r\n\r\n" if self.is_framed else "\r\n"
            first = int(headers.get("last-event-id", "0")) + 1
            self.loop.call_later(FIRST_S, self.send_event, head.encode(), first)

    def send_whole(self, status, headers, body):
        framing = f"Content-Length: {len(body)}\r\n" if self.is_framed or not body else ""
        self.transport.write(f"HTTP/1.1 {status}\r\n{headers}{framing}\r\n".encode() + body)
        if not framing:
            self.transport.close()

    def send_event(self, head, number):
        if self.transport.is_closing():
            return
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        if self.is_framed:
            event = b"%x\r\n%s\r\n" % (len(event), event)
        if number < EVENTS:
            self.transport.write(head + event)
            self.loop.call_later(STEP_S, self.send_event, b"", number + 1)
        elif self.is_framed:
            self.transport.write(head + event + b"0\r\n\r\n")
        else:
            self.transport.write(head + event)
            self.transport.close()


async def main():
    ports, is_framed = [int(port) for port in sys.argv[1].split(",")], sys.argv[2] == "1"
    first = int(sys.argv[3])
    loop, counts, born = asyncio.get_running_loop(), {"run": 0}, int(time.time() * 1000)
    for number, port in enumerate(ports, first):
        await loop.create_server(lambda name=f"i-{number}": Engine(name, born, is_framed, loop, counts), "127.0.0.1", port,
                                 backlog=1024)
    print(born, flush=True)
    # Ends with its parent.
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        if line.strip() == b"count":
            print(counts["run"], flush=True)


asyncio.run(main())
