"""Callers in one process: `callers.py PORT COUNT PATH PREFIX`. Each sends one request after the other on a kept connection.

Prints a line a second: requests sent, answered in full, answered otherwise, closed without an answer, answered between the
route's timeoutMs and 0.5 s after it, and those that have no answer 0.5 s after it. Ends with its standard input.
"""

import asyncio
import sys
import time

HOST, KEY, CALLER_HOST = "127.0.0.1", "i9n73hh2b9wu3fexd9dn", "ficu95.example"
TIMEOUT_S = 2.0
LATE_S = TIMEOUT_S + 0.5


class Caller(asyncio.Protocol):
    def __init__(self, name, path, counts, waiting):
        self.name, self.path, self.counts, self.waiting = name, path, counts, waiting
        self.number, self.received, self.is_closed = 0, b"", False

    def connection_made(self, transport):
        self.transport = transport
        self.send()

    def send(self):
        self.number += 1
        request_id = f"{self.name}-{self.number}"
        self.received = b""
        self.waiting[self.name] = (time.monotonic(), request_id)
        self.transport.write(
            f"POST {self.path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\nAuthorization: Bearer {KEY}\r\nX-Model: m\r\n"
            f"X-Token-Usage: 100,15\r\nX-Prefix-Hash: {self.number:x}:100\r\nContent-Length: 2\r\n\r\nhi".encode())
        self.counts["sent"] += 1

    def data_received(self, data):
        self.received += data
        head, found, rest = self.received.partition(b"\r\n\r\n")
        if not found:
            return
        if b"chunked" in head.lower():
            if not rest.endswith(b"0\r\n\r\n"):
                return
        else:
            lines = head.lower().split(b"\r\n")
            length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
            if len(rest) < length:
                return
        self.counts["whole" if head[9:12] == b"200" else "other"] += 1
        sent_at, _ = self.waiting.pop(self.name)
        self.counts["slow"] += time.monotonic() - sent_at > TIMEOUT_S
        self.send()

    def connection_lost(self, error):
        if self.waiting.pop(self.name, None) is not None:
            self.counts["closed"] += 1
        self.is_closed = True


async def main():
    port, count, path, prefix = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], sys.argv[4]
    loop, counts, waiting, callers = asyncio.get_running_loop(), {"sent": 0, "whole": 0, "other": 0, "closed": 0, "slow": 0}, {}, {}

    async def connect(number):
        name = f"{prefix}{number}-{int(time.monotonic() * 1000) % 1_000_000}"
        try:
            connecting = loop.create_connection(lambda: Caller(name, path, counts, waiting), HOST, port)
            callers[number] = (await asyncio.wait_for(connecting, 1))[1]
        except (OSError, asyncio.TimeoutError):
            counts["closed"] += 1

    async def report():
        while True:
            now = time.monotonic()
            late = [request_id for sent_at, request_id in waiting.values() if now - sent_at > LATE_S]
            print(counts["sent"], counts["whole"], counts["other"], counts["closed"], counts["slow"], len(late), ",".join(late[:3]), flush=True)
            for number in range(count):
                if number not in callers or callers[number].is_closed:
                    await connect(number)
            await asyncio.sleep(1)

    task = asyncio.create_task(report())
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await reader.read(-1)
    task.cancel()


asyncio.run(main())
