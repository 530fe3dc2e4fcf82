"""Unruly callers: `crowd.py PORT COUNT BYTES`. Each sends a request in chunks, without a key, at a path without a route. BYTES bytes of
its body are the extension of its first chunk; it stops short of the end and stays open. It comes again 2 s after it has been
turned away. Ends with its standard input."""

import socket
import sys
import threading
import time

port, count, size = (int(argument) for argument in sys.argv[1:4])
PART = b"x" * 16384
BYTES_PER_S = 1_200_000


def send(number):
    with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
        connection.sendall(f"POST /none/{number} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: crowd-{number}\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n5;x=".encode())
        started, sent = time.monotonic(), 0
        while sent < size:
            connection.sendall(PART[:size - sent])
            sent += len(PART)
            time.sleep(max(0, started + sent / BYTES_PER_S - time.monotonic()))
        connection.settimeout(60)
        connection.recv(4096)


def come_again(number):
    while True:
        try:
            send(number)
        except OSError:
            pass
        time.sleep(2)


for number in range(count):
    threading.Thread(target=come_again, args=(number,), daemon=True).start()
sys.stdin.read()
