"""Runs the programs of a small deployment on loopback for whole-program tests."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

START_TIMEOUT_S = 60


class PortBlock:
    """Reserves a block of ports for this process.

    Cases run in parallel, and a port that is merely probed may be bound by another case before it is used. The block
    lies below the ephemeral port range.
    """

    FIRST, SIZE, COUNT = 10_000, 1000, 20

    def __init__(self):
        for index in random.sample(range(self.COUNT), self.COUNT):
            base = self.FIRST + index * self.SIZE
            try:
                self.lock = socket.create_server(("127.0.0.1", base))
            except OSError:
                continue  # reserved by another process
            self.ports = iter(range(base + 1, base + self.SIZE))
            return
        raise RuntimeError("no free block of ports")

    def next_port(self):
        for port in self.ports:
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue  # bound by a program outside the tests
        raise RuntimeError("the block of ports is exhausted")


PORTS = PortBlock()


def free_port():
    return PORTS.next_port()


def wait_until(condition, what, timeout=START_TIMEOUT_S):
    """Polls a condition. The timeout only limits hangs; tests must not depend on its value."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting for {what}")
        time.sleep(0.02)


class PauseBeforeSend:
    """Stops a process immediately before it sends a request with a given prefix; see pause_before_send.cpp."""

    def __init__(self, deployment, name, prefix):
        self._file = os.path.join(deployment.dir, name + ".pause")
        self._deployment = deployment
        self._environment = {"PAUSE_FILE": self._file, "PAUSE_PREFIX": prefix}

    def __enter__(self):
        """Entries that are started inside the `with` block can be stopped later."""
        os.environ.update(self._environment)
        self._deployment.entry_program = "wisteriayardd-pausing"
        return self

    def __exit__(self, *failure):
        self._deployment.entry_program = "wisteriayardd"
        for variable in self._environment:
            del os.environ[variable]

    def stop(self, process):
        open(self._file, "w").close()

        def stopped():
            with open(f"/proc/{process.pid}/stat") as file:
                return file.read().rsplit(")", 1)[1].split()[0] == "T"
        wait_until(stopped, "the process to stop before its next call")


class Reply:
    """Response to an HTTP request."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, key=None, headers=None, timeout=60):
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    all_headers = dict(headers or {})
    if key:
        all_headers["Authorization"] = f"Bearer {key}"
    data = json.dumps(body) if isinstance(body, (dict, list)) else body
    if data is not None:
        all_headers.setdefault("Content-Type", "application/json")
    try:
        connection.request(method, path, data, all_headers)
        response = connection.getresponse()
        return Reply(response.status, dict(response.getheaders()), response.read())
    finally:
        connection.close()


class Stream:
    """A streaming chat request that is read in its own thread."""

    def __init__(self, address, key, prompt, model="scent", **fields):
        self.text, self.done, self.error, self.status = "", False, None, None
        self.first_token_at = None
        self._args = (address, key, prompt, model, fields)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        address, key, prompt, model, fields = self._args
        host, port = address.rsplit(":", 1)
        body = dict(model=model, stream=True, messages=[{"role": "user", "content": prompt}], **fields)
        connection = http.client.HTTPConnection(host, int(port), timeout=120)
        self.sent_at = time.monotonic()
        try:
            connection.request("POST", "/v1/chat/completions", json.dumps(body), {"Authorization": f"Bearer {key}"})
            response = connection.getresponse()
            self.status = response.status
            if response.status != 200:
                self.error = json.loads(response.read())["error"]
                return
            for line in response:
                self._handle_line(line.decode().strip())
        except (OSError, http.client.HTTPException) as error:
            self.error = self.error or {"message": str(error), "code": "connection"}
        finally:
            self.ended_at = time.monotonic()
            connection.close()

    def _handle_line(self, line):
        if line == "data: [DONE]":
            self.done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "error" in event:
                self.error = event["error"]
                return
            for choice in event["choices"]:
                self.text += choice["delta"].get("content", "")
            if self.first_token_at is None:
                self.first_token_at = time.monotonic()

    def join(self, timeout=120):
        self.thread.join(timeout)
        assert not self.thread.is_alive(), "stream did not end"
        return self


class Deployment:
    """The processes of a deployment. Kills all that still run on exit."""

    def __init__(self, bin_dir, settings=None):
        self.bin = bin_dir
        self.entry_program = "wisteriayardd"
        self.dir = tempfile.mkdtemp(prefix="wisteriayard-")
        # The processes by name; a name that is started again has its latest process here.
        self.processes = {}
        self.started = []
        self.settings = settings or {}
        self.instances = []
        self.entries, self.admins, self.peers = {}, {}, {}
        self.store_region = None

    def __enter__(self):
        return self

    def __exit__(self, *failure):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.started:
            process.wait()
        if not any(failure):
            shutil.rmtree(self.dir)
        else:
            print(f"program output kept in: {self.dir}", file=sys.stderr)

    def start(self, name, program, *arguments):
        log = open(os.path.join(self.dir, name + ".out"), "ab")
        command = [os.path.join(self.bin, program), *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT)
        self.started.append(self.processes[name])
        return self.processes[name]

    def output(self, name):
        with open(os.path.join(self.dir, name + ".out"), errors="replace") as file:
            return file.read()

    def events(self, name):
        lines = (line for line in self.output(name).splitlines() if line.startswith("{"))
        return [json.loads(line) for line in lines]

    def start_fake(self, name, kind, *arguments):
        port = free_port()
        address = f"127.0.0.1:{port}"
        self.start(name, "wisteriayard-fakes", kind, "--listen", address, *arguments)
        wait_until(lambda: "listening on" in self.output(name), f"{name} to listen")
        return address

    def start_platform(self, *arguments):
        self.store = self.start_fake("kv", "kv")
        self.platform = self.start_fake("platform", "platform", *arguments)

    def publish_instances(self):
        call(self.platform, "POST", "/fake/instances", {"instances": self.instances})

    def common_arguments(self, name, zone, region):
        self.admins.setdefault(name, f"127.0.0.1:{free_port()}")
        extra = [f"--{key}={value}" for key, value in self.settings.items()]
        return ["--instance", name, "--zone", zone, "--region", region, "--store", self.store, "--platform",
                self.platform, "--admin", self.admins[name], "--drain-delay-ms", "200", *extra]

    def start_entry(self, name, zone, region, *extra):
        self.entries.setdefault(name, f"127.0.0.1:{free_port()}")
        self.store_region = self.store_region or region
        self.peers.setdefault(name, f"127.0.0.1:{free_port()}")
        self.start(name, self.entry_program, "--role", "entry", "--listen", self.entries[name],
                   "--store-region", self.store_region, "--peer", self.peers[name],
                   *self.common_arguments(name, zone, region), *extra)
        if not any(each["instance"] == name for each in self.instances):
            self.instances.append({"instance": name, "role": "entry", "zone": zone, "region": region,
                                   "admin": self.admins[name], "peer": self.peers[name], "state": "live"})

    def start_agent(self, name, zone, region, target, kind, endpoint_address, slots=8, agent=None):
        agent = agent or f"127.0.0.1:{free_port()}"
        self.start(name + "-agent", "wisteriayardd", "--role", "agent", "--listen", agent, "--endpoint", name,
                   "--endpoint-kind", kind, "--endpoint-address", endpoint_address, "--target", target, "--slots",
                   str(slots), *self.common_arguments(name + "-agent", zone, region))
        if not any(each["instance"] == name for each in self.instances):
            self.instances.append({"instance": name, "role": "endpoint", "zone": zone, "region": region,
                                   "kind": kind, "target": target, "agent": agent, "slots": slots, "state": "live"})
        return agent

    def ready(self, name):
        try:
            return call(self.admins[name], "GET", "/readyz", timeout=5).status == 200
        except OSError:
            return False

    def wait_ready(self):
        self.publish_instances()
        count = sum(1 for each in self.instances if each["role"] == "endpoint" and each["state"] == "live")
        for name in self.entries:
            wait_until(lambda: self.ready(name), f"{name} to be ready")
            wait_until(lambda: len(self.status(name)["endpoints"]) == count, f"{name} to list all endpoints")

    def status(self, name):
        return call(self.admins[name], "GET", "/status").json()

    def ctl(self, *arguments, check=True):
        entries = [item for name in self.entries for item in ("--entry", self.admins[name])]
        command = [os.path.join(self.bin, "wisteriayardctl"), "--store", self.store, *entries, *arguments]
        result = subprocess.run(command, capture_output=True, text=True, timeout=120)
        if check and result.returncode != 0:
            raise AssertionError(f"{arguments}: exit {result.returncode}: {result.stderr}{result.stdout}")
        return result

    def issue_key(self, account, check=True):
        return json.loads(self.ctl("--json", "key", "issue", account, check=check).stdout)["key"]

    def stop(self, name, sig=signal.SIGTERM):
        self.processes[name].send_signal(sig)

    def wait_exit(self, name, timeout=START_TIMEOUT_S):
        return self.processes[name].wait(timeout)


def expected_words(prompt, length):
    """Returns the text that the stand-in engine generates for a prompt."""
    value = 1469598103934665603
    for byte in prompt.encode():
        value = ((value ^ byte) * 1099511628211) & 0xFFFFFFFFFFFFFFFF
    return "".join(f"w{((value + i * 7919) & 0xFFFFFFFFFFFFFFFF) % 10007} " for i in range(length))
