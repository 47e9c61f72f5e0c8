"""Stand-ins of the division platform for the cases 6 and up: store, routers, servers beside agents, and requesters.

They follow the pages of the platform: packets and flows, status reports, the store's objects and watches, the routers'
liveness checks. Entries and agents are the project's own programs, started with the commands and the templates of the
deploy file, each at a loopback address of its own. Everything that is seen on a socket is written to record.txt.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
REQUESTERS = "127.9.0.1"
ZONES = ("north", "south", "east")

SYN, ACK, FIN, RST, BOUNCED = 32, 2, 1, 4, 128
HEAD = struct.Struct("<IIIIHHIIHB")
SUM_KEY = b"the platform's own"

# Figures of the pages.
SYN_TIMES = (0.0, 0.2, 0.6)
SYN_LIMIT = 1.4
FIRST_TIMEOUT = 0.2
LONGEST_TIMEOUT = 1.6
SERVER_TRIES = 9
STABLE_WINDOW = 4.0
HEARTBEAT_MS = 1200
DRAIN_MS = 3000


class CannotRun(Exception):
    """The case could not be played; the text says why."""


def ip_number(text):
    return struct.unpack("!I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


class Packet:
    __slots__ = ("sum", "seq", "ack", "echo", "dport", "src", "dst", "sport", "flags", "data")

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b""):
        self.src, self.sport = src
        self.dst, self.dport = dst
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo = 0
        self.sum = self.keyed_sum()

    def keyed_sum(self):
        fields = HEAD.pack(0, self.seq, self.ack, 0, len(self.data), self.dport, ip_number(self.src), ip_number(self.dst), self.sport, self.flags & ~BOUNCED)
        return (zlib.crc32(SUM_KEY + fields + self.data) & 0xFFFFFFFF) or 1

    def bytes(self):
        return HEAD.pack(self.sum, self.seq, self.ack, self.echo, len(self.data), self.dport, ip_number(self.src), ip_number(self.dst), self.sport, self.flags) + self.data

    @classmethod
    def read(cls, raw):
        if len(raw) < HEAD.size:
            return None
        packet = cls.__new__(cls)
        packet.sum, packet.seq, packet.ack, packet.echo, length, packet.dport, src, dst, packet.sport, packet.flags = HEAD.unpack_from(raw)
        packet.src, packet.dst, packet.data = ip_text(src), ip_text(dst), raw[HEAD.size:]
        return packet if length == len(packet.data) else None

    def is_genuine(self):
        return self.sum == self.keyed_sum()

    def is_own_reset(self):
        return bool(self.flags & RST) and self.sum == 0 and not self.data

    def flow(self):
        return (self.src, self.sport, self.dst, self.dport)

    def back_flow(self):
        return (self.dst, self.dport, self.src, self.sport)


def flow_text(flow):
    return f"{flow[0]}:{flow[1]}>{flow[2]}:{flow[3]}"


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, what, **fields):
        self.file.write(f"{self.now():8.3f} {what}" + "".join(f" {key}={value}" for key, value in fields.items()) + "\n")

    def close(self):
        self.file.close()


class Udp(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        pass


async def open_udp(address, port, receive):
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(lambda: Udp(receive), local_addr=(address, port))
    return protocol.transport


async def read_http(reader):
    """One HTTP message: its first line, its headers and its body; nothing at the end of the channel."""
    first = (await reader.readline()).decode("latin-1").strip()
    if not first:
        return None
    headers = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length) if length else b""


async def call_http(address, port, method, path, body=None, limit=1.0):
    """The status and the body of an answer; 0 if there was none in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}:{port}\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
            writer.write(head.encode() + text)
            await writer.drain()
            answer = await read_http(reader)
            return (int(answer[0].split()[1]), answer[2]) if answer else (0, b"")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.kinds = {}
        self.events = []
        self.revision = 10
        self.era = 1
        self.is_away = False
        self.changed = asyncio.Event()

    async def serve(self, address, port):
        await asyncio.start_server(self.accept, address, port)

    async def accept(self, reader, writer):
        try:
            while request := await read_http(reader):
                method, target, _ = request[0].split(" ", 2)
                era = self.era
                status, answer = await self.answer(method, target, request[2])
                if self.is_away or era != self.era:
                    break
                text = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        if self.is_away:
            return 503, {}
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        words = [unquote(word) for word in parts.path.split("/") if word]
        if words[:2] != ["plantaindrift", "objects"] or len(words) < 3:
            return 404, {}
        kind, name = words[2], words[3] if len(words) > 3 else None
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")) / 1000)
        if method == "GET":
            return self.get(kind, name, query)
        return self.write(method, kind, name, json.loads(body) if body else {}, query, words[4:] == ["status"])

    def get(self, kind, name, query):
        objects = self.kinds.get(kind, {})
        if name is not None:
            return (200, objects[name]) if name in objects else (404, {})
        names = sorted(name for name in objects if name > query.get("after", ""))
        return 200, {"items": [objects[name] for name in names[:500]], "more": len(names) > 500, "store-revision": self.revision}

    async def watch(self, kind, revision, wait):
        if revision > self.revision:
            return 410, {}
        end = time.monotonic() + min(wait, 30)
        while True:
            found = [{"object": event[2], "deleted": event[3]} for event in self.events if event[0] > revision and event[1] == kind]
            left = -1 if self.is_away else end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, method, kind, name, body, query, is_status):
        objects = self.kinds.setdefault(kind, {})
        name = name if name is not None else body.get("meta", {}).get("name", "")
        old = objects.get(name)
        condition = query.get("revision", body.get("meta", {}).get("revision"))
        if old is None and method != "POST":
            return 404, {}
        if old is not None and (method == "POST" or (condition is not None and int(condition) != old["meta"]["revision"])):
            return 409, old
        if method == "DELETE":
            self.note(kind, objects.pop(name), True)
            self.record.add("store-removed", kind=kind, name=name)
            return 200, {}
        part = "status" if is_status else "spec"
        if old is not None and old[part] == body.get(part):
            return 200, old
        new = {"meta": {"name": name, "revision": self.revision + 1, "create-revision": old["meta"]["create-revision"] if old else self.revision + 1, "finalizers": [], "deleting": False},
               "spec": old["spec"] if old else None, "status": old["status"] if old else None}
        new[part] = body.get(part)
        objects[name] = new
        self.note(kind, new, False)
        self.record.add("store-written", kind=kind, name=name, revision=self.revision)
        return 200, new

    def note(self, kind, entry, deleted):
        self.revision += 1
        self.events.append((self.revision, kind, entry, deleted, time.monotonic()))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def restore(self, age_s, away_s):
        """The store is away and comes back from a copy; the operator writes again what the copy lacks."""
        self.is_away = True
        self.wake()
        self.record.add("store-away")
        await asyncio.sleep(away_s)
        copy = time.monotonic() - age_s
        lost = [event for event in self.events if event[4] > copy]
        self.events = [event for event in self.events if event[4] <= copy]
        self.revision = self.events[-1][0] if self.events else 10
        operators = self.kinds.get("config", {}).get("main", {}).get("spec")
        self.kinds = {}
        for _, kind, entry, deleted, _ in self.events:
            objects = self.kinds.setdefault(kind, {})
            if deleted:
                objects.pop(entry["meta"]["name"], None)
            else:
                objects[entry["meta"]["name"]] = entry
        self.era += 1
        self.is_away = False
        self.record.add("store-restored", era=self.era, lost=" ".join(sorted({f"{event[1]}/{event[2]['meta']['name']}" for event in lost})) or "nothing")
        if operators is not None and self.kinds.get("config", {}).get("main", {}).get("spec") != operators:
            self.write("PUT" if "main" in self.kinds.get("config", {}) else "POST", "config", None, {"meta": {"name": "main"}, "spec": operators}, {}, False)


class End:
    """One end of an open flow: sends bytes in order, acknowledges, and repeats what is not acknowledged."""

    def __init__(self, bed, local, remote, first, output):
        self.bed, self.local, self.remote, self.output = bed, local, remote, output
        self.first, self.next = first, first + 1
        self.expected = 0
        self.unacknowledged = []  # [sequence, flags, data, tries, due]
        self.early = {}
        self.input = b""
        self.finished = self.peer_finished = False

    def send(self, flags, data=b"", seq=None):
        self.output(Packet(self.local, self.remote, flags, self.next if seq is None else seq, self.expected, data))

    def write(self, data, flags=ACK):
        for begin in range(0, max(len(data), 1), 1200):
            part = data[begin:begin + 1200]
            self.unacknowledged.append([self.next, flags, part, 1, time.monotonic() + FIRST_TIMEOUT])
            self.send(flags, part)
            self.next += len(part) + (1 if flags & FIN else 0)

    def finish(self):
        if not self.finished:
            self.finished = True
            self.write(b"", ACK | FIN)

    def receive(self, packet):
        if packet.flags & ACK:
            self.unacknowledged = [entry for entry in self.unacknowledged if ((entry[0] + len(entry[2]) + (1 if entry[1] & FIN else 0) - packet.ack) & 0xFFFFFFFF) - 1 < 0x7FFFFFFF]
        if packet.data or packet.flags & FIN:
            if ((packet.seq - self.expected) & 0xFFFFFFFF) < 0x7FFFFFFF:
                self.early[packet.seq & 0xFFFFFFFF] = packet
            while (ready := self.early.pop(self.expected & 0xFFFFFFFF, None)) is not None:
                self.input += ready.data
                self.expected += len(ready.data) + (1 if ready.flags & FIN else 0)
                self.peer_finished = self.peer_finished or bool(ready.flags & FIN)
            self.send(ACK)

    def tick(self, now):
        """False if the other end acknowledges nothing any more."""
        if not self.unacknowledged or now < self.unacknowledged[0][4]:
            return True
        entry = self.unacknowledged[0]
        if entry[3] >= SERVER_TRIES:
            return False
        entry[4] = now + min(FIRST_TIMEOUT * 2 ** entry[3], LONGEST_TIMEOUT)
        entry[3] += 1
        self.send(entry[1], entry[2], entry[0])
        return True


class Server:
    """A server beside an agent."""

    def __init__(self, bed, machine):
        self.bed, self.machine = bed, machine
        self.flows = {}
        self.sequence = 0
        self.id = f"i-{bed.random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.work_s = 0.05
        self.reports = True
        self.acknowledged_drain = None

    async def start(self):
        self.transport = await open_udp(self.machine.ip, self.bed.port["app"], self.receive)
        self.bed.spawn(self.report_always())

    def send(self, packet):
        self.transport.sendto(packet.bytes(), (self.machine.ip, self.bed.port["outbound"]))

    async def report_always(self):
        while self.reports:
            await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def report(self):
        self.sequence += 1
        body = {"service": self.machine.service, "address": f"{self.machine.ip}:{self.bed.port['app']}", "zone": self.machine.zone, "version": "v1", "slots": 7,
                "state": self.state, "warmup-left-ms": 0, "seq": self.sequence, "born": self.born}
        status, _ = await call_http(self.machine.ip, self.bed.port["control"], "PUT", f"/plantaindrift/instances/{self.id}", body)
        if status == 200 and body["state"] == "draining" and self.acknowledged_drain is None:
            self.acknowledged_drain = time.monotonic()
            self.bed.record.add("drain-confirmed", server=self.machine.name)

    def receive(self, raw, _):
        packet = Packet.read(raw)
        if packet is None or not packet.is_genuine() or packet.flags & BOUNCED:
            self.bed.broken("UNASKED", f"a packet that its sender did not write reached {self.machine.name}")
            return
        flow = packet.flow()
        held = self.flows.get(flow)
        if packet.flags & SYN and not packet.flags & ACK:
            if held is None:
                first = self.bed.random.getrandbits(32)
                end = End(self.bed, (packet.dst, packet.dport), (packet.src, packet.sport), first, self.send)
                end.expected = packet.seq + 1
                held = self.flows[flow] = {"end": end, "open": False}
            held["end"].send(SYN | ACK, b"", held["end"].first)
            return
        if held is None or (not held["open"] and ((packet.ack - held["end"].first - 1) & 0xFFFFFFFF) != 0):
            self.bed.packet_elsewhere(flow, self.machine)
            packet.flags |= BOUNCED
            self.send(packet)
            return
        if not held["open"]:
            held["open"] = True
            self.bed.flow_opened(flow, self.machine)
        self.bed.packet_at_home(flow)
        if packet.flags & RST:
            self.end_flow(flow, "reset by the requester")
            return
        held["end"].receive(packet)
        while b"\n" in held["end"].input:
            line, _, held["end"].input = held["end"].input.partition(b"\n")
            self.bed.spawn(self.run(flow, line.decode()))
        if held["end"].peer_finished:
            held["end"].finish()
            self.bed.flow_closing(flow)

    async def run(self, flow, request):
        self.bed.request_ran(flow, request, self.machine)
        await asyncio.sleep(self.work_s)
        if flow in self.flows:
            self.flows[flow]["end"].write(f"answer {request} {'a' * 600}\n".encode())

    def end_flow(self, flow, why):
        if self.flows.pop(flow, None) is not None:
            self.bed.flow_ended(flow, why)

    def tick(self, now):
        for flow, held in list(self.flows.items()):
            alive = held["end"].tick(now)
            over = held["end"].finished and held["end"].peer_finished and not held["end"].unacknowledged
            if not alive or over:
                self.end_flow(flow, "closed" if over else "given up")

    def crash(self):
        self.reports = False
        self.transport.close()
        for flow in list(self.flows):
            self.end_flow(flow, "the server crashed")


class Requester:
    """One requester with one flow at a time, on which it sends requests with pauses between them."""

    def __init__(self, bed, number, address, pause, limit=None):
        """limit: seconds after which the requester gives a request up; it then opens a new flow."""
        self.bed, self.number, self.address, self.pause, self.limit = bed, number, address, pause, limit
        self.flow = None
        self.requests = 0
        self.answered = 0
        self.attempts = 0  # requests, and flows that were to carry one and did not open
        self.unanswered = 0

    def open(self):
        self.flow = (REQUESTERS, self.bed.take_port(), self.address[0], self.address[1])
        self.bed.requesters[self.flow] = self
        self.end = End(self.bed, self.flow[:2], self.flow[2:], self.bed.random.getrandbits(32), self.output)
        self.state = "opening"
        self.opened = time.monotonic()
        self.copies = 0
        self.waiting = None
        self.next = self.opened
        self.tick(self.opened)

    def output(self, packet):
        self.bed.route(packet)

    def ask(self, now):
        self.requests += 1
        self.attempts += 1
        self.waiting = f"r{self.number}-{self.requests}"
        self.asked = now
        self.bed.record.add("request", id=self.waiting, flow=flow_text(self.flow))
        self.bed.sent.add(self.waiting)
        self.end.write(f"{self.waiting}\n".encode())

    def receive(self, packet, sender):
        now = time.monotonic()
        if self.state in ("over", "reset"):
            return
        if packet.flags & RST:
            if self.state == "open" and packet.is_own_reset():
                self.bed.reset_arrived(self.flow, sender)
            self.stop("reset" if self.state == "open" else "refused")
            return
        if not packet.is_genuine():
            self.bed.broken("MIXED", f"requester {self.number} got a packet that its sender did not write")
            return
        if packet.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.end.expected = packet.seq + 1
                self.end.next = self.end.first + 1
                self.end.send(ACK)
                self.ask(now)
            return
        if self.state != "open":
            return
        self.end.receive(packet)
        while b"\n" in self.end.input:
            line, _, self.end.input = self.end.input.partition(b"\n")
            if self.waiting is None or not line.startswith(f"answer {self.waiting} ".encode()):
                self.bed.broken("MIXED", f"requester {self.number} waited for {self.waiting} and got {line[:40]!r}")
                continue
            self.bed.record.add("answer", id=self.waiting)
            self.answered += 1
            self.waiting = None
            self.next = now + self.pause
        if self.end.peer_finished:
            self.end.finish()
            self.stop("closed")

    def stop(self, why):
        self.bed.record.add("flow-over", flow=flow_text(self.flow), why=why, waiting=self.waiting)
        self.attempts += 1 if why in ("refused", "not opened") else 0
        self.state = "reset" if why == "reset" else "over"
        self.unanswered += 1 if self.waiting else 0

    def tick(self, now):
        if self.state == "opening":
            if self.copies < len(SYN_TIMES) and now - self.opened >= SYN_TIMES[self.copies]:
                self.output(Packet(self.flow[:2], self.flow[2:], SYN, self.end.first, self.copies))
                self.copies += 1
            elif now - self.opened >= SYN_LIMIT:
                self.stop("not opened")
        elif self.state == "open":
            self.end.tick(now)
            if self.limit is not None and self.waiting is not None and now - self.asked > self.limit:
                self.end.finish()
                self.stop("time limit")
            elif self.waiting is None and now >= self.next and not self.bed.is_ending:
                self.ask(now)
        elif self.bed.reopens and not self.bed.is_ending and now - self.opened > 2:
            self.open()


class Machine:
    """A machine of the system with the process on it."""

    def __init__(self, name, ip, zone, service=None):
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        self.process = None
        self.server = None
        self.disturbed = 0.0  # when a signal, a kill or a start last came; processes start disturbed
        self.ready = True
        self.missed = 0


class Bed:
    def __init__(self, record, fronts, sides, seed=1, reopens=True):
        """record: path of the record.txt of the case; sides: the service of each side machine."""
        self.random = random.Random(seed)
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="plantaindrift-case-")
        self.fronts = [Machine(f"front-{number}", f"127.31.0.{number}", ZONES[0]) for number in range(1, fronts + 1)]
        self.sides = [Machine(f"side-{number}", f"127.32.0.{number}", ZONES[number % len(ZONES)], service) for number, service in enumerate(sides, 1)]
        self.reopens = reopens
        self.further_addresses = []  # of machines that are added
        self.later = set()  # names of side machines that the case starts itself
        self.port = {}
        self.processes = []
        self.tasks = set()
        self.requesters = {}
        self.sent = set()
        self.ran = {}
        self.open_flows = {}
        self.elsewhere = {}
        self.breaks = []
        self.resets = []  # of open flows: the flow, the sender, the server's machine, and for how long both were undisturbed
        self.is_ending = False
        self.last_port = 20000
        self.store = Store(self.record)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)

    # Addresses and processes

    def take_ports(self):
        """Ports that are free at all addresses of the case, for TCP and UDP."""
        addresses = [machine.ip for machine in self.fronts + self.sides] + [REQUESTERS, "127.0.0.1"]
        addresses += self.further_addresses
        for name in ("data", "ready", "control", "outbound", "app", "first", "second", "store"):
            for _ in range(1000):
                port = random.SystemRandom().randrange(21000, 32000)
                if port not in self.port.values() and all(self.is_free(address, port) for address in addresses):
                    self.port[name] = port
                    break
            else:
                raise CannotRun("no free port")

    @staticmethod
    def is_free(address, port):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((address, port))
                udp.bind((address, port))
                return True
            except OSError:
                return False

    def take_port(self):
        self.last_port += 1
        return self.last_port

    def fields(self, machine):
        """The settings of the platform for a machine, as the pages list them."""
        fields = {"node": machine.name, "zone": machine.zone, "ip": machine.ip,
                  "listen": {"data-addr": f"{machine.ip}:{self.port['data']}", "ready": f"{machine.ip}:{self.port['ready']}",
                             "control": f"{machine.ip}:{self.port['control']}", "outbound": f"{machine.ip}:{self.port['outbound']}"},
                  "internal-port-range": [self.port["first"], self.port["second"]],
                  "seeds": [f"{front.ip}:{self.port['control']}" for front in self.fronts if front.service is None][:3],
                  "limits": {"cpu-share": 0.25 if machine.service is None else 0.15, "link-mbps": 1000.0, "max-fds": 4096, "memory-mb": 260 if machine.service is None else 128},
                  "heartbeat-ms": HEARTBEAT_MS, "platform": {"address": f"127.0.0.1:{self.port['store']}"}, "bounds": {}}
        if machine.service is not None:
            fields |= {"service": machine.service, "app": f"{machine.ip}:{self.port['app']}"}
        return fields

    def write_settings(self, machine):
        """The platform fills the template in at every start, and when the settings change. Returns the path and the role's entry."""
        role = "entry" if machine.service is None else "agent"
        declared = next(entry for name, entry in self.deploy["roles"].items() if name == role)
        with open(os.path.join(ROOT, declared["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.fields(machine))
        settings = os.path.join(self.folder, machine.name + ".toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        return settings, declared

    def start_process(self, machine):
        settings, declared = self.write_settings(machine)
        command = re.sub(r"--settings=\S+", f"--settings={settings}", declared["run"]).split(" ")
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is missing; run the build of the deploy file")
        with open(os.path.join(self.folder, machine.name + ".log"), "ab") as log:
            machine.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT)
        machine.disturbed = time.monotonic()
        self.processes.append(machine.process)
        self.record.add("process-started", machine=machine.name)

    def send_signal(self, machine, number):
        self.record.add("signal", machine=machine.name, number=int(number))
        machine.disturbed = time.monotonic()
        machine.process.send_signal(number)

    async def restart(self, machine, number=signal.SIGTERM, pause=0.6):
        """Stops a process and starts it again, as the platform does at planned work; kills it after grace-s."""
        self.send_signal(machine, number)
        end = time.monotonic() + 6
        while machine.process.poll() is None:
            if time.monotonic() > end:
                machine.process.kill()
            await asyncio.sleep(0.02)
        self.record.add("process-ended", machine=machine.name, status=machine.process.returncode)
        await asyncio.sleep(pause)
        self.start_process(machine)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, configuration):
        self.take_ports()
        await self.store.serve("127.0.0.1", self.port["store"])
        self.configure(configuration)
        self.callers = await open_udp(REQUESTERS, self.port["data"], self.requester_packet)
        for side in self.sides:
            if side.name not in self.later:
                await self.start_side(side)
        for front in self.fronts:
            self.start_process(front)
        for front in self.fronts:
            self.spawn(self.check_ready(front))
        self.spawn(self.tick_always())
        end = time.monotonic() + 20
        while not all([(await self.is_ready(front)) for front in self.fronts]):
            if time.monotonic() > end:
                raise CannotRun("the entries do not become ready")
            await asyncio.sleep(0.1)
        # Status reports and load reports of all servers.
        await asyncio.sleep(3)

    async def start_side(self, side):
        side.server = Server(self, side)
        await side.server.start()
        self.start_process(side)

    def configure(self, configuration):
        """The operator writes the whole configuration; the store's answer is the confirmation."""
        body = {"meta": {"name": "main"}, "spec": configuration}
        first = "main" not in self.store.kinds.get("config", {})
        self.store.write("POST" if first else "PUT", "config", None if first else "main", body, {}, False)
        self.record.add("configuration-confirmed", version=configuration["version"])

    async def is_ready(self, front):
        return (await call_http(front.ip, self.port["ready"], "GET", "/readyz", limit=0.45))[0] == 200

    async def check_ready(self, front):
        while True:
            ready = await self.is_ready(front)
            front.missed = 0 if ready else front.missed + 1
            is_in = ready or (front.missed < 2 and front.ready)
            if is_in != front.ready:
                self.record.add("rotation", machine=front.name, ready=is_in)
            front.ready = is_in
            await asyncio.sleep(0.5)

    async def tick_always(self):
        while True:
            now = time.monotonic()
            for requester in list(self.requesters.values()):
                requester.tick(now)
            for side in self.sides:
                if side.server is not None:
                    side.server.tick(now)
            await asyncio.sleep(0.01)

    # The routers: rendezvous hashing, so that only the flows of a node move that joins or leaves.

    def route(self, packet):
        nodes = [front for front in self.fronts if front.ready] or self.fronts
        front = max(nodes, key=lambda node: zlib.crc32(f"{packet.flow()}{node.ip}".encode()))
        self.callers.sendto(packet.bytes(), (front.ip, self.port["data"]))

    def requester_packet(self, raw, sender):
        packet = Packet.read(raw)
        requester = self.requesters.get(packet.back_flow()) if packet else None
        if requester is not None:
            requester.receive(packet, sender[0])

    # What clients and servers see

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.record.add("BROKEN", rule=rule, text=json.dumps(text))

    def flow_opened(self, flow, machine):
        self.open_flows[flow] = machine
        self.record.add("flow-opened", flow=flow_text(flow), server=machine.name, service=machine.service)

    def flow_closing(self, flow):
        self.open_flows.pop(flow, None)

    def flow_ended(self, flow, why):
        self.open_flows.pop(flow, None)
        self.record.add("flow-ended", flow=flow_text(flow), why=json.dumps(why))

    def packet_at_home(self, flow):
        self.elsewhere.pop(flow, None)

    def packet_elsewhere(self, flow, machine):
        if flow not in self.open_flows:
            return
        self.elsewhere.setdefault(flow, []).append((time.monotonic(), machine.name))
        self.record.add("packet-elsewhere", flow=flow_text(flow), server=machine.name)

    def request_ran(self, flow, request, machine):
        self.record.add("ran", id=request, server=machine.name, service=machine.service)
        if request not in self.sent:
            self.broken("UNASKED", f"{machine.name} ran {request}, which nobody sent")
        if request in self.ran:
            self.broken("TWICE", f"{request} ran at {self.ran[request]} and at {machine.name}")
        self.ran[request] = machine.name

    def machine_at(self, address):
        return next((machine for machine in self.fronts + self.sides if machine.ip == address), None)

    def reset_arrived(self, flow, sender):
        server = self.open_flows.get(flow)
        machine = self.machine_at(sender)
        since = time.monotonic() - machine.disturbed if machine else 0
        self.record.add("reset", flow=flow_text(flow), sender=machine.name if machine else sender, sender_undisturbed_s=f"{since:.1f}", open_at=server.name if server else None)
        if server is not None:
            self.resets.append((flow, machine, server, since, time.monotonic() - server.disturbed))

    # The end

    async def close(self):
        self.is_ending = True
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for task in list(self.tasks):
            task.cancel()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def render(text, fields):
    """The platform's filling of a template: values, and sections for lists and present values."""
    def lookup(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for word in name.split("."):
                if isinstance(value, list) and word.isdigit() and int(word) < len(value):
                    value = value[int(word)]
                elif isinstance(value, dict) and word in value:
                    value = value[word]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(part, scopes, comma):
        out, place = "", 0
        for match in re.compile(r"\{\{([#^]?)([^{}]+)\}\}").finditer(part):
            if match.start() < place:
                continue
            out += part[place:match.start()]
            mark, name = match.groups()
            place = match.end()
            if name == ",":
                out += comma
            elif mark:
                end = part.index("{{/" + name + "}}", place)
                inner, value = part[place:end], lookup(name, scopes)
                place = end + len("{{/" + name + "}}")
                if mark == "^":
                    out += fill(inner, scopes, comma) if not value else ""
                elif isinstance(value, list):
                    out += "".join(fill(inner, scopes + [entry], "," if index + 1 < len(value) else "") for index, entry in enumerate(value))
                elif value:
                    out += fill(inner, scopes + [value], comma)
            else:
                value = lookup(name, scopes)
                out += "" if value is None else ",".join(map(str, value)) if isinstance(value, list) else str(value)
        return out + part[place:]
    return fill(text, [fields], "")


def play(folder, case):
    """Runs a case and ends with 10 if a rule was broken, 0 if it held and 2 if the case could not run (see run.sh)."""
    async def run():
        return await asyncio.wait_for(case(), 115)
    try:
        sys.exit(asyncio.run(run()))
    except (CannotRun, OSError, asyncio.TimeoutError) as problem:
        print(f"the case could not run: {problem!r}")
        sys.exit(2)
