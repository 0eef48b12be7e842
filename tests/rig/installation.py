"""A complete installation on the loopback interface: platform, backend servers and nodes."""

from __future__ import annotations

import hashlib
import signal
import sys
import threading
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import httpx
import msgspec

from rig.ports import find_port
from rig.processes import Process, answers, wait_until
from standins.model import Sampled, Weights, generate
from standins.serving import read_journal
from vaneturn_core.engine.tokens import encode_prompt
from vaneturn_node.http.chatformat import ChatMessage
from vaneturn_node.http.rendering import render_prompt

OPERATOR_KEY = "operator-key-for-tests"
CUSTOMER_KEY = "customer-key-for-tests"
PIPELINE = "ledgerlm"
LAYERS = 12
CHAT_PATH = "/v1/chat/completions"
CLIENT_TIMEOUT_S = 60.0


class Stream:
    """A streamed answer that is read in parts and may be resumed."""

    def __init__(self, response: httpx.Response, resumed: Stream | None = None) -> None:
        self.response = response
        self.text: str = resumed.text if resumed else ""
        self.resumes: int = resumed.resumes + 1 if resumed else 0
        self.is_whole = False
        self.error = ""
        self.last_event_id: str = resumed.last_event_id if resumed else ""
        self._pending_id = self.last_event_id
        self._lines = response.iter_lines()

    @property
    def route(self) -> list[str]:
        """The servers of the route on which the answer started."""
        return [hop.partition("[")[0] for hop in self.response.headers["Vaneturn-Route"].split()]

    def read(self, events: int | None = None) -> str:
        """Read a number of events (all remaining ones by default), and return the complete text so far."""
        count = 0
        while events is None or count < events:
            line = next(self._lines, None)
            if line is None:
                break
            if line.startswith("id: "):
                self._pending_id = line.removeprefix("id: ")
            if not line.startswith("data: "):
                continue
            count += 1
            self._read_event(line.removeprefix("data: "))
            self.last_event_id = self._pending_id  # as in the SSE standard: an id counts once its event is complete
        return self.text

    def _read_event(self, data: str) -> None:
        if data == "[DONE]":
            self.is_whole = True
            return
        decoded = msgspec.json.decode(data)
        if "error" in decoded:
            self.error = decoded["error"]["code"]
            return
        self.text += decoded["choices"][0]["delta"].get("content") or ""


class Installation:
    """Processes by name, and the declared configuration, which a test changes and applies."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.nodes: list[str] = []
        self._starting: list[str] = []  # probe URLs of processes that may not answer yet
        self.client = httpx.Client(timeout=CLIENT_TIMEOUT_S)
        self.declared: dict[str, Any] = {
            "classes": [{"name": "portal", "priority": 0}, {"name": "batch", "priority": 5}],
            "customers": [self.describe_customer("osborne-finance", CUSTOMER_KEY, "portal")],
            "servers": [],
            "pipelines": [],
            "services": [],
        }

    def __enter__(self) -> Self:
        if threading.current_thread() is threading.main_thread():
            signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # so that __exit__ runs and ends the processes
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for process in self.processes.values():
            process.end()
        self.client.close()

    # processes

    def start(self, name: str, module: str, *arguments: str, probe: str = "/") -> None:
        port = self.ports.setdefault(name, find_port())
        output = self.folder / f"{name}.log"
        self.processes[name] = Process(module, ["--port", str(port), *arguments], output)
        self._starting.append(self.url(name) + probe)

    def wait_started(self) -> None:
        """Wait until every process started so far answers."""
        while self._starting:
            url = self._starting[-1]
            wait_until(lambda url=url: answers(url))  # type: ignore[misc]
            self._starting.pop()

    def start_platform(self, vm_list_lag: float = 0.0) -> None:
        self.start("kv", "standins.keyvalue", *self._journal("kv"))
        self.start("vms", "standins.vmlist", "--lag", str(vm_list_lag))

    def start_weight_store(self, loads_at_once: int, layer_seconds: float = 0.02) -> None:
        options = ["--loads-at-once", str(loads_at_once), "--layer-seconds", str(layer_seconds)]
        self.start("weights", "standins.weightstore", *options, *self._journal("weights"), probe="/control/none")
        self.declared["loads_at_once"] = loads_at_once

    def start_ordered_engine(self, name: str, first: int, end: int, *arguments: str, checks_fence: bool = True) -> None:
        """Start an engine without layers, with memory for its range only; it loads the layers it is ordered to hold."""
        options = ["--weight-store", self.url("weights"), "--memory-layers", str(end - first), *arguments]
        self.start_engine(name, first, end, *options, *([] if checks_fence else ["--no-fence"]))
        self.declared["pipelines"][0]["layer_bytes"] = 1
        server = next(server for server in self.declared["servers"] if server["vm"] == name)
        server.update(memory=end - first, checks_fence=checks_fence)

    def start_engine(self, name: str, first: int, end: int, *arguments: str, rate: float = 1000.0) -> None:
        """Start an engine; the first engine of a name also declares it for the pipeline."""
        options = ["--layers", str(LAYERS), "--first", str(first), "--end", str(end)]
        self.start(name, "standins.engine", *options, *self._journal(name), *arguments)
        if any(server["vm"] == name for server in self.declared["servers"]):
            return
        self._declare_server(name)
        if not self.declared["pipelines"]:
            pipeline = {"name": PIPELINE, "model": "ledger", "version": "1", "layers": LAYERS, "stages": []}
            self.declared["pipelines"].append(pipeline)
        stage = {"vm": name, "first": first, "end": end, "rate": rate}
        self.declared["pipelines"][0]["stages"].append(stage)

    def start_plain(self, name: str, service: str) -> None:
        self.start(name, "standins.plainservice", "--name", name, *self._journal(name), probe="/control/none")
        self._declare_server(name)
        for declared in self.declared["services"]:
            if declared["name"] == service:
                declared["servers"].append(name)
                return
        self.declared["services"].append({"name": service, "servers": [name]})

    def start_node(self, name: str, **settings: object) -> None:
        self.ports.setdefault(name, find_port())
        peer = self.ports.setdefault(f"{name}-peer", find_port())
        seeds = [f"127.0.0.1:{self.ports[f'{other}-peer']}" for other in self.nodes if other != name]
        path = self.folder / f"{name}.json"
        defaults = {
            "vm": name,
            "data_hall": "osborne",
            "http_address": f"127.0.0.1:{self.ports[name]}",
            "peer_address": f"127.0.0.1:{peer}",
            "key_value_url": self.url("kv"),
            "vm_list_url": self.url("vms") + "/v1/vms",
            "seeds": seeds,
            "cluster_key": "cluster-key-for-tests",
            "operator_keys": {"tester": OPERATOR_KEY},
        }
        path.write_bytes(msgspec.json.encode({**defaults, **settings}))
        output = self.folder / f"{name}.log"
        self.processes[name] = Process("vaneturn_node", ["--settings", str(path)], output)
        if name not in self.nodes:
            self.nodes.append(name)
        self._starting.append(self.url(name) + "/healthz")

    def start_cuttable_node(self, name: str, **settings: object) -> None:
        """Start a node whose path to the key-value service can be cut."""
        path = f"{name}-path"
        relayed = self.ports.setdefault(f"{path}-relayed", find_port())
        options = ["--relay-port", str(relayed), "--target-port", str(self.ports["kv"])]
        self.start(path, "standins.relay", *options, probe="/control/none")
        self.start_node(name, key_value_url=f"http://127.0.0.1:{relayed}", **settings)

    def cut(self, name: str) -> None:
        self.client.post(self.url(f"{name}-path") + "/control/cut").raise_for_status()

    def heal(self, name: str) -> None:
        self.client.post(self.url(f"{name}-path") + "/control/heal").raise_for_status()

    def url(self, name: str) -> str:
        return f"http://127.0.0.1:{self.ports[name]}"

    def _journal(self, name: str) -> list[str]:
        return ["--journal", str(self.folder / f"{name}.journal")]

    def _declare_server(self, name: str) -> None:
        address = f"127.0.0.1:{self.ports[name]}"
        self.declared["servers"].append({"vm": name, "address": address, "data_hall": "osborne"})

    @staticmethod
    def describe_customer(name: str, key: str, work_class: str, **limits: object) -> dict[str, Any]:
        digest = hashlib.sha256(key.encode()).hexdigest()
        return {"name": name, "key_sha256": digest, "work_class": work_class, **limits}

    # operators

    def apply(self, node: str | None = None, change: str | None = None) -> httpx.Response:
        """Apply the declared configuration through a node."""
        based_on = self.show_state(node)["revision"]
        return self.propose(based_on, node, change)

    def propose(self, based_on: int, node: str | None = None, change: str | None = None) -> httpx.Response:
        body = {
            "id": change or uuid.uuid4().hex,
            "summary": "test",
            "based_on": based_on,
            "declared": self.declared,
        }
        url = self.url(node or self.nodes[0]) + "/operator/v1/changes"
        return self.client.post(url, json=body, headers=operator_headers())

    def show_state(self, node: str | None = None) -> dict[str, Any]:
        url = self.url(node or self.nodes[0]) + "/operator/v1/state"
        state: dict[str, Any] = self.client.get(url, headers=operator_headers()).json()
        return state

    def apply_everywhere(self) -> None:
        """Apply the configuration, then wait until it is in force and all links are connected on every node."""
        self.wait_started()
        response = self.apply()
        assert response.status_code == httpx.codes.OK, response.text
        self.wait_in_force(response.json()["change"]["revision"])

    def wait_in_force(self, revision: int) -> None:
        """Wait until the revision is in force and every link is connected on every node."""
        for node in self.nodes:
            wait_until(lambda node=node: self.show_state(node)["revision"] >= revision)  # type: ignore[misc]
            wait_until(lambda node=node: self._is_connected(node))  # type: ignore[misc]

    def _is_connected(self, node: str) -> bool:
        return all(server["connected"] for server in self.show_state(node)["servers"])

    def set_faults(self, name: str, **faults: object) -> None:
        self.client.post(self.url(name) + "/control/faults", json=faults).raise_for_status()

    # callers

    def chat(self, text: str, node: str | None = None, key: str = CUSTOMER_KEY, **fields: object) -> httpx.Response:
        url = self.url(node or self.nodes[0]) + CHAT_PATH
        return self.client.post(url, json=make_chat(text, **fields), headers=caller_headers(key))

    @contextmanager
    def stream(
        self, text: str, node: str | None = None, resume: Stream | None = None, **fields: object
    ) -> Iterator[Stream]:
        """Open a streamed answer that the test reads in parts, or resume one that was cut."""
        url = self.url(node or self.nodes[0]) + CHAT_PATH
        body = make_chat(text, stream=True, **fields)
        others = {"Last-Event-ID": resume.last_event_id} if resume else {}
        with self.client.stream("POST", url, json=body, headers=caller_headers(**others)) as response:
            yield Stream(response, resume)

    def read_journal(self, name: str) -> list[dict[str, Any]]:
        return read_journal(self.folder / f"{name}.journal")


def make_chat(text: str, **fields: object) -> dict[str, Any]:
    """Make the body of a chat request."""
    body = {"model": PIPELINE, "messages": [{"role": "user", "content": text}], "seed": 7, "max_tokens": 24}
    return {**body, **fields}


def operator_headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {OPERATOR_KEY}"}


def caller_headers(key: str = CUSTOMER_KEY, **others: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}", **others}


def expect_answer(text: str, seed: int = 7, max_tokens: int = 24, version: str = "1") -> list[Sampled]:
    """Generate the answer that a correct run of the whole model gives."""
    prompt = encode_prompt(render_prompt([ChatMessage("user", text)]))
    return generate(Weights("ledger", version, None), LAYERS, prompt, seed, max_tokens)


def expect_text(text: str, seed: int = 7, max_tokens: int = 24, version: str = "1") -> str:
    return "".join(sampled.text for sampled in expect_answer(text, seed, max_tokens, version))


def read_text(response: httpx.Response) -> str:
    assert response.status_code == httpx.codes.OK, response.text
    text: str = response.json()["choices"][0]["message"]["content"]
    return text


__all__ = [
    "CHAT_PATH",
    "CUSTOMER_KEY",
    "LAYERS",
    "OPERATOR_KEY",
    "PIPELINE",
    "Installation",
    "Stream",
    "caller_headers",
    "expect_text",
    "make_chat",
    "operator_headers",
    "read_text",
]
