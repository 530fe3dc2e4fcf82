"""Unruly callers: `crowd.py PORT COUNT AHEAD`. Each sends requests without a key, at a path without a route, on one connection, and keeps
AHEAD of them ahead of the answers that it has read. It comes again 2 s after its connection has ended. Ends with its standard input.
"""

import asyncio
import sys

PORT, COUNT, AHEAD = (int(argument) for argument in sys.argv[1:4])
BATCH = 250


class Caller(asyncio.Protocol):
    def __init__(self, number, counts, ended):
        self.counts, self.ended, self.ahead, self.rest, self.is_writable = counts, ended, 0, b"", True
        request = f"GET /none/{number} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: crowd-{number}\r\n\r\n"
        self.batch = request.encode() * BATCH

    def connection_made(self, transport):
        self.transport = transport
        self.send()

    def send(self):
        while self.is_writable and self.ahead + BATCH <= AHEAD and not self.transport.is_closing():
            self.ahead += BATCH
            self.counts["sent"] += BATCH
            self.transport.write(self.batch)

    def pause_writing(self):
        self.is_writable = False

    def resume_writing(self):
        self.is_writable = True
        self.send()

    def data_received(self, data):
        # A status line may come in two parts.
        data = self.rest + data
        answers = data.count(b"HTTP/1.1 404")
        self.rest = data[-11:]
        self.ahead -= answers
        self.counts["answered"] += answers
        self.send()

    def connection_lost(self, error):
        self.ended.set()


async def come_again(number, counts):
    loop = asyncio.get_running_loop()
    while True:
        ended = asyncio.Event()
        try:
            await loop.create_connection(lambda: Caller(number, counts, ended), "127.0.0.1", PORT)
            await ended.wait()
        except OSError:
            pass
        await asyncio.sleep(2)


async def main():
    loop, counts = asyncio.get_running_loop(), {"sent": 0, "answered": 0}
    callers = [asyncio.create_task(come_again(number, counts)) for number in range(COUNT)]
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        if line.strip() == b"count":
            print(counts["sent"], counts["answered"], flush=True)
    for caller in callers:
        caller.cancel()


asyncio.run(main())
