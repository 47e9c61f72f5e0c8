"""Processes of one small system on loopback, for scripts/demo and scripts/failures.

Every process is a child of this one and is ended by its own id.
"""
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("PLANTAINDRIFT_BUILD_DIR", os.path.join(ROOT, "build"))
TCP_SERVICE = "rota-desk"
TCP_ADDRESS = "10.20.0.10:443"
PLACE = "Ratnapura"
EXAMPLE = "example-water-service"


class CheckFailed(Exception):
    """A condition did not hold; the text says which."""


def show(event, **fields):
    print(f"event={event}" + "".join(f" {key}={value}" for key, value in fields.items()), flush=True)


def binary(name):
    return os.path.join(BUILD, "bin", name)


class Ports:
    """Loopback ports that are free for TCP and UDP when they are taken.

    They are below those that the kernel gives to outgoing connections, which would take them before they are used, and
    beds that run at the same time begin at different blocks.
    """

    FIRST = 20000
    BLOCK = 200
    BLOCKS = 60

    def __init__(self):
        first = os.getpid() % self.BLOCKS * self.BLOCK
        count = self.BLOCK * self.BLOCKS
        self.candidates = (self.FIRST + (first + offset) % count for offset in range(count))

    def take(self):
        for port in self.candidates:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                    socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    tcp.bind(("127.0.0.1", port))
                    udp.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return f"127.0.0.1:{port}"
        raise CheckFailed("no port is left")


def fetch(address, path, method="GET", body=None, limit=5):
    request = urllib.request.Request(f"http://{address}{path}", method=method, data=body.encode() if body is not None else None)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, timeout=limit) as answer:
        return answer.read().decode()


def fetch_json(address, path):
    return json.loads(fetch(address, path))


def answers(address, path):
    try:
        fetch(address, path, limit=2)
        return True
    except (OSError, urllib.error.URLError):
        return False


def wait_until(what, condition, limit=90):
    """The limit only ends a run that would hang; verdicts do not depend on it."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CheckFailed(f"waited {limit} s in vain for: {what}")


class Node:
    """An entry, agent or target with its addresses."""

    def __init__(self, name, ports):
        self.name = name
        self.data = ports.take()
        self.control = ports.take()
        self.http = ports.take()
        self.process = None


class Testbed:
    def __init__(self):
        self.folder = tempfile.mkdtemp(prefix="plantaindrift-")
        self.ports = Ports()
        self.processes = []
        self.key_file = os.path.join(self.folder, "keys.toml")
        self.platform_address = self.ports.take()
        self.fabric = {"caller": self.ports.take(), "return": self.ports.take(), "http": self.ports.take()}
        self.caller_http = self.ports.take()
        self.entries = []
        self.targets = {}
        self.agents = {}
        self.service = TCP_SERVICE
        self.address = TCP_ADDRESS

    # Processes

    def start(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = subprocess.Popen(arguments, stdout=log, stderr=subprocess.STDOUT, cwd=self.folder)
        log.close()
        self.processes.append(process)
        return process

    def log_text(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    @staticmethod
    def end(process, with_signal=signal.SIGTERM, limit=60):
        if process.poll() is None:
            process.send_signal(with_signal)
        return process.wait(timeout=limit)

    def close(self, keep=False):
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        for process in self.processes:
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if keep:
            show("logs_kept", folder=self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def run_tool(self, *arguments):
        completed = subprocess.run([binary(arguments[0]), *arguments[1:]], cwd=self.folder, capture_output=True, text=True, timeout=120)
        return completed

    # Parts of the system

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path + ".new", "w", encoding="utf-8") as output:
            output.write(text)
        os.replace(path + ".new", path)
        return path

    def new_key(self, epoch):
        return self.run_tool("plantaindrift", "keygen", f"--epoch={epoch}").stdout

    def common_settings(self, node, data_centre):
        return (f'name = "{node.name}"\ndata_centre = "{data_centre}"\ndata = "{node.data}"\ncontrol = "{node.control}"\n'
                f'http = "{node.http}"\nkeys = "{self.key_file}"\n')

    def platform_settings(self):
        return f'[platform]\nurl = "http://{self.platform_address}"\npoll_s = 2\ntimeout_ms = 1000\n'

    def start_platform(self):
        process = self.start("platform", [binary("standin-platform"), f"--listen={self.platform_address}"])
        wait_until("the platform answers", lambda: answers(self.platform_address, "/v1/objects?prefix=log/&after=&limit=1"))
        return process

    def start_entry(self, name, data_centre=PLACE):
        node = Node(name, self.ports)
        seeds = ", ".join(f'"{entry.control}"' for entry in self.entries)
        text = self.common_settings(node, data_centre) + f"seeds = [{seeds}]\n" + self.platform_settings()
        path = self.write(name + ".toml", text)
        node.process = self.start(name, [binary("plantaindrift-entry"), f"--settings={path}"])
        self.entries.append(node)
        return node

    def start_target(self, name, slots=7):
        node = Node(name, self.ports)
        self.targets[name] = node
        self.run_target(node, slots)
        return node

    def run_target(self, node, slots=7):
        node.process = self.start(node.name, [
            binary("standin-target"), f"--name={node.name}", f"--service={self.service}", f"--addresses={self.address}",
            f"--listen={node.data}", f"--http={node.http}", f"--return_to={self.fabric['return']}", f"--slots={slots}"])
        wait_until(f"{node.name} answers", lambda: answers(node.http, "/load"))

    def start_agent(self, target, on_stop="drain", data_centre=PLACE):
        node = Node("agent-of-" + target.name, self.ports)
        self.agents[target.name] = node
        self.write_agent_settings(node, target, on_stop, data_centre)
        self.run_agent(node)
        return node

    def write_agent_settings(self, node, target, on_stop, data_centre=PLACE):
        entries = ", ".join(f'"{entry.control}"' for entry in self.entries)
        text = self.common_settings(node, data_centre).replace(f'name = "{node.name}"', f'name = "{target.name}"')
        text += (f'service = "{self.service}"\nentries = [{entries}]\non_stop = "{on_stop}"\n'
                 + self.platform_settings()
                 + f'[target]\ndeliver_to = "{target.data}"\nreturn_to = "{self.fabric["return"]}"\n'
                 f'load_url = "http://{target.http}/load"\nflows_url = "http://{target.http}/flows"\n')
        self.write(node.name + ".toml", text)

    def run_agent(self, node):
        path = os.path.join(self.folder, node.name + ".toml")
        node.process = self.start(node.name, [binary("plantaindrift-agent"), f"--settings={path}"])

    def entry_list(self):
        return ",".join(f"{entry.data}/{entry.http}" for entry in self.entries)

    def start_fabric(self, **options):
        flags = [f"--{key}={value}" for key, value in options.items()]
        return self.start("fabric", [
            binary("standin-fabric"), f"--caller_listen={self.fabric['caller']}", f"--return_listen={self.fabric['return']}",
            f"--http={self.fabric['http']}", f"--entries={self.entry_list()}", *flags])

    def start_caller(self, **options):
        flags = [f"--{key}={value}" for key, value in options.items()]
        process = self.start("caller", [
            binary("standin-caller"), f"--fabric={self.fabric['caller']}", f"--listen={self.ports.take()}",
            f"--http={self.caller_http}", f"--tcp={self.service}={self.address}", *flags])
        wait_until("the caller answers", lambda: answers(self.caller_http, "/counts"))
        return process

    def tell_fabric(self):
        """Gives the fabric the present list of entries."""
        fetch(self.fabric["http"], "/entries", "PUT", self.entry_list())

    def declaration(self, name="declaration", slots=None):
        """Canonical declaration text of the example program; `slots` changes the slots of its services."""
        completed = self.run_tool(EXAMPLE)
        if completed.returncode != 0:
            raise CheckFailed(f"{EXAMPLE} ended with {completed.returncode}: {completed.stderr}")
        text = completed.stdout
        if slots is not None:
            text = text.replace("slots = 7", f"slots = {slots}")
        return self.write(name + ".toml", text)

    def apply(self, path, expected_position, reason="demo"):
        return self.run_tool("plantaindrift", "apply", path, f"--platform=http://{self.platform_address}",
                             f"--expected_position={expected_position}", "--author=operator", f"--reason={reason}",
                             f"--operation_id={reason}-{expected_position}")

    def wait_ready(self, limit=90):
        for node in self.entries + list(self.agents.values()):
            wait_until(f"{node.name} is ready", lambda node=node: answers(node.http, "/readyz"), limit)

    def wait_fabric(self, number):
        wait_until(f"the fabric sees {number} entries", lambda: fetch_json(self.fabric["http"], "/counts")["ready_entries"] == number)

    # Counts of the stand-ins

    def caller_counts(self):
        return fetch_json(self.caller_http, "/counts")

    def wait_caller_done(self, limit=180):
        wait_until("the caller has finished", lambda: self.caller_counts()["done"], limit)

    def target_totals(self, gone=()):
        """Sums over the targets; `gone` has the last counts and executed ids of targets that have ended."""
        parts = [(fetch_json(node.http, "/counts"), fetch_json(node.http, "/executed")) for node in self.targets.values() if node.process.poll() is None]
        parts += list(gone)
        executed = [request for _, requests in parts for request in requests]
        return {
            "misrouted": sum(counts["misrouted"] for counts, _ in parts),
            "duplicated": sum(counts["duplicated"] for counts, _ in parts) + len(executed) - len(set(executed)),
            "executed": len(set(executed)),
            "unknown_flow": sum(counts["unknown_flow"] for counts, _ in parts),
            "by_target": {counts["name"]: counts["accepted"] for counts, _ in parts},
        }
