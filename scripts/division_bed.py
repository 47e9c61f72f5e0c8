"""Processes of one small system on loopback as on the division platform, for scripts/soak.

Every entry and agent has an address of its own in 127.0.0.0/8 and reaches the store through a proxy of its own. Every
process is a child of this one and is ended by its own id.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import urllib.error

from testbed import CheckFailed, Ports, answers, binary, fetch, fetch_json, wait_until

CALLER_ADDRESS = "127.9.0.1"
DATA_CENTRES = ("north", "south", "east")

# Figures of the platform's pages: how long a fault excuses a process, and when a confirmed configuration must be in force.
STABLE_SECONDS = 4
CONFIGURATION_SECONDS = 3

ROUTES = {"198.18.0.1:443": "desk", "198.18.0.2:443": "ledger"}


class StoreProxy:
    """Carries the store calls of one process, or disturbs them."""

    def __init__(self, loop, listen, store):
        self.loop = loop
        self.listen = listen
        self.store = store
        self.mode = "pass"  # "delay", "reset", "one_way" (answers are lost) or "silence" (nothing is carried)
        self.writers = set()
        asyncio.run_coroutine_threadsafe(self.serve(), loop).result(10)

    async def serve(self):
        host, port = self.listen.split(":")
        await asyncio.start_server(self.accept, host, int(port))

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.loop.call_soon_threadsafe(self.abort_all)

    def abort_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.store.split(":")
        try:
            store_reader, store_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, store_writer}
        await asyncio.gather(self.carry(reader, store_writer, True), self.carry(store_reader, writer, False))
        self.writers -= {writer, store_writer}

    async def carry(self, reader, writer, is_call):
        try:
            while data := await reader.read(65536):
                if self.mode == "silence" or (self.mode == "one_way" and not is_call):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(0.4)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def cancel_others():
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Machine:
    """An address with the process that runs there."""

    def __init__(self, name, address, service=None):
        self.name = name
        self.address = address
        self.service = service
        self.process = None
        self.proxy = None
        self.planned_end = False  # the process was told to end, or killed
        self.replaced = 0  # how often a machine of another name took its place

    def member(self):
        return f"{self.name}-{self.replaced}" if self.replaced else self.name


class DivisionBed:
    def __init__(self, seed, entries, desk_targets, ledger_targets):
        self.folder = tempfile.mkdtemp(prefix="plantaindrift-soak-")
        ports = Ports()
        self.port = {name: ports.take().split(":")[1] for name in ("data", "relay", "control", "http", "app", "output", "announcements")}
        self.store = ports.take()
        self.http = ports.take()
        self.random = random.Random(seed)
        self.seed = seed
        self.version = 0
        self.confirmed = 0.0  # when the store confirmed the latest version
        self.handles_evacuations = False
        self.disturbed = {}  # name of a machine, or nothing for all: when something last happened to it
        self.started = []
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.entries = [Machine(f"entry-{number}", f"127.1.0.{number}") for number in range(1, entries + 1)]
        self.agents = [Machine(f"agent-{number}", f"127.2.0.{number}", "desk" if number <= desk_targets else "ledger")
                       for number in range(1, desk_targets + ledger_targets + 1)]
        for machine in self.entries + self.agents:
            machine.proxy = StoreProxy(self.loop, ports.take(), self.store)

    # Processes

    def at(self, machine, port):
        return f"{machine.address}:{self.port[port]}"

    def launch(self, name, arguments):
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            process = subprocess.Popen(arguments, stdout=log, stderr=subprocess.STDOUT, cwd=self.folder)
        self.started.append(process)
        return process

    def start_division(self):
        targets = [f"{agent.service}/{self.data_centre(agent)}/{self.at(agent, 'app')}/{self.at(agent, 'output')}/{self.at(agent, 'announcements')}"
                   for agent in self.agents]
        self.launch("division", [
            binary("standin-division"), f"--store={self.store}", f"--http={self.http}", f"--callers={CALLER_ADDRESS}:{self.port['data']}",
            "--entries=" + ",".join(f"{self.at(entry, 'data')}/{self.at(entry, 'http')}" for entry in self.entries),
            "--targets=" + ",".join(targets), "--routes=" + ",".join(f"{address}/{service}" for address, service in ROUTES.items()),
            f"--seed={self.seed}"])
        wait_until("the stand-in answers", lambda: answers(self.http, "/state"))
        wait_until("the store answers", lambda: answers(self.store, "/plantaindrift/objects/config"))

    def data_centre(self, machine):
        return DATA_CENTRES[int(machine.address.rsplit(".", 1)[1]) % len(DATA_CENTRES)]

    def settings(self, machine):
        seeds = ", ".join(f'"{self.at(entry, "control")}"' for entry in self.entries[:3])
        text = (f'name = "{machine.member()}"\ndata_centre = "{self.data_centre(machine)}"\ninsecure = true\n'
                f'data = "{self.at(machine, "data")}"\ncontrol = "{self.at(machine, "control")}"\ncontrol_transport = "datagram"\n'
                f'http = "{self.at(machine, "http")}"\n')
        if machine.service is None:
            text += f'relay = "{self.at(machine, "relay")}"\nseeds = [{seeds}]\n'
        else:
            text += (f'service = "{machine.service}"\nentries = [{seeds}]\n[target]\naddress = "{self.at(machine, "app")}"\n'
                     f'output = "{self.at(machine, "output")}"\nannouncements = "{self.at(machine, "announcements")}"\n'
                     'announcement_interval_ms = 400\n')
        text += f'[platform]\nurl = "http://{machine.proxy.listen}"\n'
        return text + ("[evacuation]\nenabled = true\n" if self.handles_evacuations else "")

    def start(self, machine):
        path = os.path.join(self.folder, machine.name + ".toml")
        with open(path, "w", encoding="utf-8") as output:
            output.write(self.settings(machine))
        role = "entry" if machine.service is None else "agent"
        machine.planned_end = False
        self.disturbed[machine.name] = time.monotonic()
        machine.process = self.launch(machine.name, [binary(f"plantaindrift-division-{role}"), f"--settings={path}"])

    def start_all(self):
        self.start_division()
        self.configure()
        for machine in self.entries + self.agents:
            self.start(machine)
        wait_until("all entries are ready", lambda: self.state()["ready_entries"] == len(self.entries))

    def close(self, keep):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        asyncio.run_coroutine_threadsafe(cancel_others(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Commands to the stand-in

    def tell(self, what, **fields):
        fetch(self.http, "/control", "POST", json.dumps({"do": what, **fields}))

    def state(self):
        return fetch_json(self.http, "/state")

    def metric(self, machine, name):
        """Sum of a metric's values over all labels."""
        lines = fetch(self.at(machine, "http"), "/metrics").splitlines()
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith((name + " ", name + "{")))

    def disturb(self, machine=None):
        """Something unplanned begins or ends at a machine, or at all of them."""
        self.disturbed[machine.name if machine else None] = time.monotonic()
        self.tell("disturb", address=machine.address if machine else "")

    def is_in_touch(self, machine):
        last = max(self.disturbed.get(machine.name, 0), self.disturbed.get(None, 0))
        return machine.process.poll() is None and not machine.planned_end and time.monotonic() - last > STABLE_SECONDS

    def check_configuration(self):
        """A confirmed configuration is in force at every entry that nothing happened to."""
        if time.monotonic() - self.confirmed < CONFIGURATION_SECONDS:
            return
        for entry in self.entries:
            if self.is_in_touch(entry):
                applied = self.metric(entry, "plantaindrift_configuration_position")
                if applied < self.version:
                    raise CheckFailed(f"CONFIG: {entry.name} applies version {applied:.0f}, and {self.version} was confirmed "
                                      f"{time.monotonic() - self.confirmed:.1f} s ago")

    def store_faults(self, **faults):
        fetch(self.store, "/faults", "POST", json.dumps(faults))

    def members(self):
        return {item["meta"]["name"] for item in fetch_json(self.store, "/plantaindrift/objects/members")["items"]}

    def configure(self):
        """Writes the next version of the configuration, with one more unused route."""
        self.version += self.random.randint(1, 5)
        routes = [{"host": address.split(":")[0], "path-prefix": f"/{address.split(':')[1]}/", "service": service, "kind": "idempotent",
                   "timeout-ms": 3000, "target-latency-ms": 400, "priority": 1} for address, service in ROUTES.items()]
        routes.append({**routes[0], "host": f"198.18.1.{self.version % 250}"})
        contents = {"version": self.version, "routes": routes, "limits": {"idle-timeout-ms": 12000},
                    "services": [{"name": service, "health-path": "/health", "max-conns": 2000} for service in ("desk", "ledger")]}
        body = json.dumps({"meta": {"name": "main"}, "spec": contents})
        if self.version <= 5 and not answers(self.store, "/plantaindrift/objects/config/main"):
            fetch(self.store, "/plantaindrift/objects/config", "POST", body)
        else:
            fetch(self.store, "/plantaindrift/objects/config/main", "PUT", body)
        self.confirmed = time.monotonic()

    def evacuate(self, data_centre):
        """Writes the object; one may stand there that a restore of the store brought back."""
        body = json.dumps({"meta": {"name": data_centre}, "spec": {}})
        try:
            fetch(self.store, "/plantaindrift/objects/evacuations", "POST", body)
        except urllib.error.HTTPError as error:
            if error.code != 409:
                raise
            fetch(self.store, f"/plantaindrift/objects/evacuations/{data_centre}", "PUT", body)

    def withdraw_evacuation(self, data_centre):
        """Removes the object, unless a restore of the store lost it."""
        try:
            fetch(self.store, f"/plantaindrift/objects/evacuations/{data_centre}", "DELETE")
        except urllib.error.HTTPError as error:
            if error.code != 404:
                raise

    def check_processes(self):
        for machine in self.entries + self.agents:
            code = machine.process.poll()
            if code is not None and not machine.planned_end:
                raise CheckFailed(f"{machine.name} ended by itself with {code}")
