"""A small deployment of dockbend on loopback, with stand-in servers and clients, for the cases of review/4 and up.

Only the standard library of Python 3.11 is used. Every process that is started here is ended here.
"""

import asyncio
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("DOCKBEND_BUILD", ROOT / "target"))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_S = 110.0

# One core machine and one edge machine in each zone, as in the small deployments of the kit.
ZONES = {"c-one": "csepel", "c-two": "csepel", "d-one": "debrecen", "d-two": "debrecen",
         "g-one": "gyor", "g-two": "gyor"}


class CannotRun(Exception):
    """The case can't be played here: exit code 2."""


class Broken(Exception):
    """A connection ended, or what came is no message."""


# ---- HTTP, one message at a time --------------------------------------------------------------------------------

async def read_message(reader):
    """(first line's words, headers with names in lower case, body)"""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        words = lines[0].split(" ", 2)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        return words, headers, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError) as error:
        raise Broken(type(error).__name__) from error


def render(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


async def exchange(address, method, target, headers=None, body=b"", limit_s=2.0):
    """One call on a connection of its own: (status, headers, body). Raises Broken, also after the limit."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            all_headers = {"Host": address, "Connection": "close", **(headers or {})}
            writer.write(render(f"{method} {target} HTTP/1.1", all_headers, body))
            words, got, got_body = await read_message(reader)
            return int(words[1]), got, got_body
    except (OSError, TimeoutError) as error:
        raise Broken(type(error).__name__) from error
    finally:
        if writer is not None:
            writer.close()


# ---- record ------------------------------------------------------------------------------------------------------

class Record:
    """What was sent, answered and run, as lines with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.began_at

    def note(self, text):
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


# ---- processes ---------------------------------------------------------------------------------------------------

class Process:
    def __init__(self, lab, name, command, settings):
        self._lab, self.name, self._command, self.settings = lab, name, command, settings
        self.child = None

    async def start(self):
        program = BUILD / self._command[0]
        if not program.exists():
            raise CannotRun(f"{program.name} is not built")
        log = open(self._lab.folder / f"{self.name}.log", "ab")
        self.child = await asyncio.create_subprocess_exec(
            str(program), *self._command[1:], stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            cwd=self._lab.folder, env={"PATH": os.environ.get("PATH", ""), "DOCKBEND_SETTINGS": str(self.settings)})
        log.close()

    def is_running(self):
        return self.child is not None and self.child.returncode is None

    def send(self, number):
        if self.is_running():
            self.child.send_signal(number)

    async def end(self):
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            await self.child.wait()


class Machine:
    """Processes that are signalled together."""

    def __init__(self, lab, name, ip, zone, processes):
        self.lab, self.name, self.ip, self.zone, self.processes = lab, name, ip, zone, processes

    async def start(self):
        for process in self.processes:
            await process.start()

    def send(self, number):
        self.lab.record.note(f"{signal.Signals(number).name} to {self.name}")
        for process in self.processes:
            process.send(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        for process in self.processes:
            await process.end()

    async def end(self):
        for process in self.processes:
            await process.end()


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


def guard(ip, port):
    """A listening socket, which keeps others away from what stands behind it for as long as it is open; None: taken."""
    held = socket.socket()
    try:
        held.bind((ip, port))
        held.listen(1)
        return held
    except OSError:
        held.close()
        return None


def free_network():
    """The first three parts of loopback addresses on which nobody listens, and the guard of it."""
    for _ in range(50):
        net = f"127.{random.randrange(60, 220)}.{random.randrange(1, 250)}"
        held = guard(f"{net}.254", 7659)
        if held and all(is_free(f"{net}.{host}", port) for host in (1, 101) for port in (8146, 8144, 7660)):
            return net, held
    raise CannotRun("no free loopback addresses")


def free_ports(count):
    """The first of so many free ports on 127.0.0.1, below the ephemeral ones, and the guard of them."""
    for _ in range(50):
        first = random.randrange(12000, 30000, 40)
        held = guard("127.0.0.1", first + 39)
        if held and all(is_free("127.0.0.1", first + n) for n in range(count)):
            return first, held
    raise CannotRun("no free ports")


class Lab:
    """Core machines, edge machines, servers. All addresses are in a loopback network of this run's own."""

    def __init__(self, case_folder, zones=None, controllers=None, edges=None, settings=(), seeds=3, machines_borne=1):
        self.case_folder = pathlib.Path(case_folder)
        self.record = Record(self.case_folder / "record.txt")
        self.zones = dict(zones or ZONES)
        self._net, self._network_guard = free_network()
        names = list(self.zones)
        controller_zones = controllers if controllers is not None else names
        edge_zones = edges if edges is not None else names
        self._base_port, self._port_guard = free_ports(len(edge_zones))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="dockbend-review-"))
        self._more, self._machines_borne = list(settings), machines_borne
        self.control = [f"{self._net}.{n + 1}:8146" for n in range(len(controller_zones))]
        self._seeds = self.control[:seeds]
        self.core = [self._core_machine(n, zone) for n, zone in enumerate(controller_zones)]
        self.edge = [self._edge_machine(n, zone) for n, zone in enumerate(edge_zones)]
        self.fronts = [f"{machine.ip}:8144" for machine in self.edge]
        self.servers = []
        self._server_numbers = itertools.count(1)

    def _common(self, name, ip, zone):
        lines = [f"nodeName={name}", f"ip={ip}", f"zone={zone}", f"region={self.zones[zone]}",
                 "innerPorts=7660,7675", "seedAddrs=" + ",".join(self._seeds), "bootstrap=true", "lossCounted=true",
                 "beatPeriodS=1.0", f"tolerance.machines={self._machines_borne}", "tolerance.zones=1", "tolerance.regions=1"]
        lines += [f"zones.{zone_name}={region}" for zone_name, region in self.zones.items()]
        return lines + self._more

    def _write(self, name, lines):
        path = self.folder / f"{name}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    def _core_machine(self, n, zone):
        name, ip = f"core-{n + 1}", f"{self._net}.{n + 1}"
        disk = self.folder / f"disk-{n + 1}"
        lines = self._common(name, ip, zone) + [f"bind.control={ip}:8146", f"bind.directory={ip}:8143",
                                                f"dataDir={disk}", "machineClass=core"]
        process = Process(self, name, ["dockbend-controller", "--staged"], self._write(name, lines))
        machine = Machine(self, name, ip, zone, [process])
        machine.disk = disk
        return machine

    def _edge_machine(self, n, zone):
        name, ip = f"edge-{n + 1}", f"{self._net}.{n + 101}"
        lines = self._common(name, ip, zone) + [f"bind.front={ip}:8144", f"bind.ready={ip}:8140",
                                                f"agentPort={self._base_port + n}", "machineClass=edge"]
        settings = self._write(name, lines)
        return Machine(self, name, ip, zone, [Process(self, f"{name}-agent", ["dockbend-agent"], settings),
                                              Process(self, f"{name}-proxy", ["dockbend-proxy"], settings)])

    async def start(self, configuration, servers=()):
        self.folder.mkdir(exist_ok=True)
        for machine in self.core + self.edge:
            await machine.start()
        for server in servers:
            await self.add_server(server)
        if await self.amend(configuration) != 200:
            raise CannotRun("the first configuration was not taken")
        for machine in self.core + self.edge:  # only the very first start is one
            for process in machine.processes:
                text = process.settings.read_text().replace("bootstrap=true", "bootstrap=false")
                process.settings.write_text(text)
        give_up_at = time.monotonic() + 30
        for machine in self.edge:
            while not await self.is_ready(machine):
                if time.monotonic() > give_up_at:
                    raise CannotRun(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def until_joined(self):
        """Until each core machine has said where it stands and has all keys, and the agents have heard of it."""
        give_up_at = time.monotonic() + 20
        while True:
            try:
                members = json.loads((await exchange(self.control[0], "GET", "/-/Member.List"))[2])["members"]
                if len(members) == len(self.core) and all(m["zone"] and m["state"] == "whole" for m in members):
                    break
            except (Broken, ValueError, KeyError):
                pass
            if time.monotonic() > give_up_at:
                raise CannotRun("the core machines have not joined")
            await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)

    async def is_ready(self, machine):
        try:
            return (await exchange(f"{machine.ip}:8140", "GET", "/-/readiness", limit_s=1.0))[0] == 200
        except Broken:
            return False

    async def add_server(self, server):
        number = next(self._server_numbers)
        server.attach(self, number, f"{self._net}.{200 + number % 50}:{9000 + number // 50}")
        self.servers.append(server)
        await server.start()
        return server

    async def operator(self, method, target, body=b"", limit_s=30.0, to=None, first=None):
        """Sends an order to the controllers until one gives a clear answer: (status, body)."""
        give_up_at = time.monotonic() + limit_s
        order = list(to or self.control)
        if first is not None:
            order = [order[first]] + [address for n, address in enumerate(order) if n != first]
        for address in itertools.cycle(order):
            try:
                status, headers, answer = await exchange(address, method, target, {}, body, 1.5)
                hops = 0
                while status == 307 and hops < 2:
                    host = headers["location"].split("//", 1)[1].split("/", 1)[0]
                    status, headers, answer = await exchange(host, method, target, {}, body, 1.5)
                    hops += 1
                if status < 300 or status in (400, 409, 412, 413, 422):
                    self.record.note(f"operator: {method} {target} at {address}: {status}")
                    return status, answer
            except Broken:
                pass
            if time.monotonic() > give_up_at:
                return 0, b""
            await asyncio.sleep(0.1)
        return 0, b""

    async def amend(self, change):
        return (await self.operator("POST", "/-/Config.Amend", json.dumps(change).encode()))[0]

    async def stop(self):
        for server in self.servers:
            await server.stop()
        await asyncio.gather(*(machine.end() for machine in self.core + self.edge))
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# ---- configuration -----------------------------------------------------------------------------------------------

def generation(number):
    return f"{number:08x}"


def route(name, kind, prefix, service, version=1, deadline_s=4.0, tries=2, **more):
    return {"name": name, "kind": kind, "setpointS": 0.6, "rank": 1, "generation": generation(version),
            "selector": {"pathPrefix": prefix},
            "actuation": {"service": service, "deadlineS": deadline_s, "maxTries": tries, "homeRegions": []}, **more}


def pool(name, version=1, dedupes=False):
    return {"name": name, "healthPath": "/health", "connLimit": 500, "protocol": "h1", "tlsMode": False,
            "selfDedupes": dedupes, "coldS": 0, "coldRateS": 1000, "generation": generation(version)}


def first_configuration(host, routes, pools, customers=None, idle_s=15):
    upsert = {"limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerDeadlineS": 3, "idleTimeoutS": idle_s,
                         "generation": generation(1)},
              "sockets": [{"host": host, "policy": routes}], "pools": pools}
    if customers:
        upsert["customers"] = customers
    return {"upsert": upsert, "remove": {"routes": []}}


# ---- servers -----------------------------------------------------------------------------------------------------

class Run:
    """One request that a server has begun to work on."""

    def __init__(self, server, headers, words, body):
        self.server, self.attempt, self.key = server, headers.get("x-attempt-id", ""), headers.get("x-operation-key", "")
        self.tenant, self.target, self.body = headers.get("x-tenant", ""), words[1], body
        self.began_at, self.ended_at, self.seal = time.monotonic(), None, ""


class Server:
    """A sound server of the protocol. `work_s`: how long a run takes, or a function of the run."""

    def __init__(self, service, zone, work_s=0.05, capacity=50):
        self.service, self.zone, self.capacity = service, zone, capacity
        self.work_s = work_s
        self.runs = []
        self.state = "ready"

    def attach(self, lab, number, address):
        self.lab, self.address, self.id = lab, address, f"i-{number:04d}"
        self._calls = itertools.count(1)
        self._seals = itertools.count(1)
        self._connections = set()
        self._at_work = 0

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self._listener = await asyncio.start_server(self._accept, host, int(port), limit=1 << 22)
        self._beats = asyncio.create_task(self._beat_steadily())

    async def stop(self):
        self._beats.cancel()
        self._listener.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _beat_steadily(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.0)

    async def beat(self, state=None):
        body = json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "generation": "v1",
                           "capacity": self.capacity, "state": state or self.state, "coldLeftS": 0,
                           "callSeq": next(self._calls)}).encode()
        near = sorted(self.lab.core, key=lambda machine: (machine.zone != self.zone,
                                                          self.lab.zones[machine.zone] != self.lab.zones[self.zone]))
        for machine in near:
            try:
                status, _, _ = await exchange(f"{machine.ip}:8146", "POST", f"/-/Servers.Heartbeat/{self.id}", {}, body,
                                              1.0)
                if status < 300:
                    return True
            except Broken:
                continue
        return False

    async def _accept(self, reader, writer):
        self._connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        words, headers, body = await read_message(reader)
        if words[1] == "/health":
            writer.write(render("HTTP/1.1 200 OK", {"X-Server-Id": self.id}))
            return True
        answer = {"X-Attempt-Id": headers.get("x-attempt-id", ""), "X-Server-Id": self.id}
        if headers.get("x-target-server", self.id) != self.id:
            writer.write(render("HTTP/1.1 421 Misdirected Request", answer))
            return True
        if self._at_work >= self.capacity:
            writer.write(render("HTTP/1.1 503 Service Unavailable", {**answer, "X-Not-Run": "1"}))
            return True
        run = Run(self, headers, words, body)
        self.runs.append(run)
        self.lab.record.note(f"server {self.id} ({self.zone}) runs {run.target} attempt {run.attempt} key {run.key}")
        self._at_work += 1
        try:
            return await self.answer(run, answer, writer)
        finally:
            self._at_work -= 1
            run.ended_at = time.monotonic()

    async def answer(self, run, headers, writer):
        await asyncio.sleep(self.work_s(run) if callable(self.work_s) else self.work_s)
        run.seal = f"{self.id}.{next(self._seals)}"
        writer.write(render("HTTP/1.1 200 OK", {**headers, "X-Server-Seal": run.seal}, b"body of " + run.seal.encode()))
        await writer.drain()
        return True


# ---- clients -----------------------------------------------------------------------------------------------------

class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body
        self.seal = headers.get("x-server-seal", "")


_ids = itertools.count(1)


async def send(lab, front, host, method, target, key="", time_left_s=4.0, body=b"", headers=None):
    """One try of a client, with an id of its own; status 0: no complete answer came."""
    attempt = f"{next(_ids):016x}"
    fields = {"Host": host, "X-Attempt-Id": attempt, "X-Time-Left": str(int(time_left_s * 1000)), **(headers or {})}
    if key:
        fields["X-Operation-Key"] = key
    lab.record.note(f"client sends {method} {target} attempt {attempt} key {key} to {front}")
    try:
        status, got, got_body = await exchange(front, method, target, fields, body, time_left_s + 1.0)
    except Broken as broken:
        status, got, got_body = 0, {}, str(broken).encode()
    answer = Answer(status, got, got_body)
    answer.attempt, answer.at = attempt, time.monotonic()
    lab.record.note(f"client got {status} seal {answer.seal} for attempt {attempt} key {key}")
    return answer


def play(case):
    """Runs the case's coroutine; it returns True if the rule was broken. Exit code 1: broken, 0: held, 2: can't run, also
    for whatever goes wrong in the script itself. A SIGTERM ends the run, and what it started."""
    async def limited():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LONGEST_S):
            return await case()

    try:
        is_broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as reason:
        if not isinstance(reason, (CannotRun, TimeoutError, asyncio.CancelledError)):
            traceback.print_exc()
        print(f"can't run: {type(reason).__name__} {reason}")
        sys.exit(2)
    print("the rule was BROKEN" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
