"""Streams that consumers take up again after relays were killed one after the other."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
from standins import CannotRun, Stream, StreamEngine, configuration, main  # noqa: E402

KEY = "key-1"
ZONES = ["a", "a", "b", "b", "b", "c", "d"]  # of the relays, as the site has them
FIRST, SECOND = (1, 4, 5, 6), (0, 2, 3)  # killed first, killed second
STREAMS = 24
TIMEOUT_MS = 15000  # time budget and route timeout of spec-reorder
EVENTS, PAUSE_MS = 110, 100
RESTART_S = 0.5  # from the kill of a process to its restart
BETWEEN_S = 4.5  # between the two kills
PATH = "/desk/draft/1"


def kill_and_restart(relays):
    for relay in relays:
        relay.signal(signal.SIGKILL)
    for relay in relays:
        relay.process.wait()
    time.sleep(RESTART_S)
    for relay in relays:
        relay.start()


def case(site):
    store, record = site.store, site.record
    document = configuration(5, [KEY])
    for route in document["routes"]:
        route["timeoutMs"] = TIMEOUT_MS
    store.put("op/config", document)
    for zone, version in zip("abcd", ("v1", "v2", "v1", "v2")):
        site.add_engine(f"i-{zone}", "desk", f"brazos-{zone}", kind=StreamEngine, events=EVENTS,
                        pause_ms=PAUSE_MS, version=version)
    site.start_relays([f"brazos-{zone}" for zone in ZONES])
    first, second = ([site.relays[index] for index in indices] for indices in (FIRST, SECOND))
    time.sleep(1)
    begun, taken_up, whole = [], [], []

    def consume(number):
        started = time.monotonic()
        attempt = f"stream-{number}"
        stream = Stream(second[number % len(second)].frontend, PATH, attempt, KEY, TIMEOUT_MS)
        record.write(f"consumer: {attempt} got {stream.status} and {len(stream.events)} events, "
                     f"{'complete' if stream.is_complete else 'broken off'}")
        begun.append(stream.status == 200)
        if stream.is_complete or not stream.last:
            whole.append(stream.is_complete)
            return
        # The stream was broken off: the consumer takes it up again at another machine, and honours Retry-After once.
        for retry in (1, 2):
            left_ms = int(TIMEOUT_MS - (time.monotonic() - started) * 1000)
            again = Stream(first[number % len(first)].frontend, PATH, f"{attempt}-{retry}", KEY, left_ms,
                           resumes=attempt, last=stream.last)
            record.write(f"consumer: {attempt}-{retry} takes it up after event {stream.last}: {again.status}, "
                         f"{len(again.events)} events, {'complete' if again.is_complete else 'not complete'} "
                         f"{again.failure}")
            if again.status != 503:
                break
            time.sleep(0.5)
        taken_up.append(again.status == 200 and bool(again.events))
        whole.append(again.is_complete)

    threads = [threading.Thread(target=consume, args=(number,), daemon=True) for number in range(STREAMS)]
    for thread in threads:
        thread.start()
    time.sleep(1.5)
    new = []
    if site.trouble:
        kill_and_restart(first)
        time.sleep(BETWEEN_S - RESTART_S)
        if not all(relay.is_ready() for relay in first):
            raise CannotRun("the relays that were killed first are not ready again")
        kill_and_restart(second)
    else:
        time.sleep(BETWEEN_S + RESTART_S)
    # New streams at the machines at which the others are taken up again.
    for number in range(12):
        def begin(number=number):
            stream = Stream(first[number % len(first)].frontend, PATH, f"new-{number}", KEY, TIMEOUT_MS)
            new.append(stream.status == 200 and bool(stream.events))
            record.write(f"consumer: new-{number} got {stream.status} and {len(stream.events)} events")
        threads.append(threading.Thread(target=begin, daemon=True))
        threads[-1].start()
        time.sleep(0.1)
    for thread in threads:
        thread.join(20)
    if len(begun) < STREAMS or not all(begun):
        raise CannotRun(f"{sum(begun)} of {STREAMS} streams have begun")
    record.write(f"{len(taken_up)} streams were taken up again, {sum(taken_up)} of them went on; "
                 f"{sum(new)} of {len(new)} new streams began; {sum(whole)} of {STREAMS} became whole")
    if len(taken_up) >= 12 and sum(taken_up) / len(taken_up) < 0.5 * sum(new) / len(new):
        return [f"LOST: {sum(taken_up)} of {len(taken_up)} streams went on that consumers took up again, "
                f"{sum(new)} of {len(new)} new streams began"]
    return []


if __name__ == "__main__":
    sys.exit(main(case))
