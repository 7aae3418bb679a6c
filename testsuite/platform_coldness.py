"""Coldness of the stand-in endpoints."""

import threading
import time


class Coldness:
    """The time for which an endpoint is cold, and the requests that it gets.

    The endpoint states the remaining time in its entry, and in its responses if `in_responses` is set. It takes
    `slowdown` times as long for a response while it is cold.
    """

    slowdown = 4

    def __init__(self):
        self.lock = threading.Lock()
        # Cold times, each from its start to its end.
        self.spells, self.arrivals = [], []
        self.in_responses = False

    def begin(self, seconds):
        now = time.monotonic()
        with self.lock:
            self.spells.append((now, now + seconds))

    def left_ms(self):
        return max(0, int(1000 * (self.spells[-1][1] - time.monotonic()))) if self.spells else 0

    def arrived(self, sent, entry):
        """Records a request that its caller sent to an entry at a time."""
        with self.lock:
            self.arrivals.append((float(sent or 0), time.monotonic(), entry))

    def most_in_second(self, notice_s=0, excused=lambda entry, at: False):
        """Most requests in a second of a cold time that were sent and received in it.

        Seconds that begin before `notice_s` after the start of the cold time don't count. The time at which an entry
        sent a request is not known; it lies after the caller's, so requests on the border are left out. `excused` tells
        whether a request of an entry at a time does not count.
        """
        most = 0
        for begin, end in self.spells:
            inside = [(sent, received) for sent, received, entry in self.arrivals
                      if sent >= begin + notice_s and received <= end and not excused(entry, received)]
            for start, _ in inside:
                most = max(most, sum(start <= sent and received <= start + 1 for sent, received in inside))
        return most

    def headers(self):
        return [("Cold-Ms", str(self.left_ms()))] if self.in_responses and self.spells else []
