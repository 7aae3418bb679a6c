"""MIXED: an answer without a length is reset on the way, while the rest of the request is still being written."""

import os
import socket
import struct
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import loopback  # noqa: E402

SERVERS, REQUESTS = 8, 3
# Within max_body_bytes (4,194,304).
REQUEST_BYTES = 4_190_000
ANSWER = b"A" * 400 + b"B" * 400
SENT_BEFORE_RESET = 400
PAUSE_S = 0.3


def crash(connection):
    """Ends the channel as a server does that crashes: a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def case(case, trouble):
    crashed = []

    def answer(server, arrival):
        """Answers before it has read the long body, without a length; the channel ends the answer."""
        server.run(arrival)
        head = arrival.head_of_answer("Content-Type: application/json", "Connection: close")
        arrival.connection.sendall(head + ANSWER[:SENT_BEFORE_RESET])
        time.sleep(PAUSE_S)
        # One server in eight crashes, once.
        if trouble and not crashed:
            crashed.append(server.name)
            server.record.add(f"server {server.name} crashes after {SENT_BEFORE_RESET} of {len(ANSWER)} bytes")
            crash(arrival.connection)
            return False
        arrival.connection.sendall(ANSWER[SENT_BEFORE_RESET:])
        arrival.read_rest()
        server.record.add(f"server {server.name} has sent its whole answer and read the whole request")
        return False

    case.add_servers(SERVERS, "plain", answer)
    case.start([loopback.PUBLISH])
    broken = []
    for number in range(REQUESTS):
        client = case.client(f"c{number}")
        client.send(f"6000000000000{number:03d}", "/publish/1", b"x" * REQUEST_BYTES)
        status, fields, body, complete = client.answer()
        if status and 200 <= status < 300 and complete and body != ANSWER:
            broken.append(f"MIXED: client {client.name} gets a success, complete and with the seal "
                          f"{fields.get('response-seal')}, of {len(body)} of the {len(ANSWER)} bytes of the server's body")
    if trouble and not crashed:
        raise RuntimeError("no server got as far as to crash")
    if not case.runs():
        raise RuntimeError("no request was run")
    return broken


loopback.run(__file__, case)
