"""Demonstration of both kinds of use on two nodes: one answer through three stages and one plain call."""

from __future__ import annotations

import os
import sys
import tempfile
from pathlib import Path

import anyio
import httpx
import msgspec

from rig import trafficdemo
from rig.installation import (
    CHAT_PATH,
    CUSTOMER_KEY,
    LAYERS,
    OPERATOR_KEY,
    Installation,
    caller_headers,
    expect_text,
    make_chat,
)
from vaneturn_cli.commands import main as run_command
from vaneturn_node.http.chatformat import Chunk

STAGES = ((0, 4), (4, 8), (8, LAYERS))
PROMPT = "Read debtor invoice 2041 and draft the funding note."


def declare_users(installation: Installation) -> Path:
    """Declare the pipelines of Swanreach and VINN and a second customer; return the path of the file."""
    declared = installation.declared
    swanreach = declared["pipelines"][0]
    vinn = {**swanreach, "name": "vaneturn-llm", "preference": "recovery"}
    declared["pipelines"] = [swanreach, vinn]
    declared["customers"].append(installation.describe_customer("energy-agency", "agency-key-for-demo", "portal"))
    path = installation.folder / "declarations.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(declared)))
    return path


def stream_answer(installation: Installation) -> tuple[str, str]:
    """Print the answer as it arrives; return it with its route."""
    body = make_chat(PROMPT, stream=True)
    url = installation.url("entry-1") + CHAT_PATH
    text = ""
    with httpx.stream("POST", url, json=body, headers=caller_headers(CUSTOMER_KEY), timeout=30) as response:
        response.raise_for_status()
        for line in response.iter_lines():
            if not line.startswith("data: {"):
                continue
            piece = msgspec.json.decode(line.removeprefix("data: "), type=Chunk).choices[0].delta.content or ""
            print(piece, end="", flush=True)
            text += piece
    print()
    return text, response.headers["Vaneturn-Route"]


def run_demo(installation: Installation) -> bool:
    installation.start_platform()
    for first, end in STAGES:
        for letter in "ab":
            installation.start_engine(f"runner-{first}{letter}", first, end)
    installation.start_plain("desk-1", "brokerdesk")
    installation.start_plain("case-1", "case-portal")
    installation.start_node("entry-1")
    installation.start_node("entry-2")
    installation.wait_started()
    nodes = ",".join(f"127.0.0.1:{installation.ports[node]}" for node in installation.nodes)
    if run_command(["--nodes", nodes, "apply", str(declare_users(installation)), "--summary", "demo"]):
        return False
    installation.wait_in_force(1)
    text, route = stream_answer(installation)
    print(f"route: {route}")
    is_right = text == expect_text(PROMPT)
    print(f"checked against the whole model: {'equal' if is_right else 'DIFFERENT'}")
    plain = installation.client.get(
        installation.url("entry-2") + "/services/case-portal/cases/7", headers=caller_headers(CUSTOMER_KEY)
    )
    print(f"plain call: {plain.status_code} {plain.text}")
    return is_right and plain.status_code == httpx.codes.OK


def main() -> int:
    os.environ["VANETURN_OPERATOR_KEY"] = OPERATOR_KEY
    with tempfile.TemporaryDirectory() as folder, Installation(Path(folder)) as installation:
        is_right = run_demo(installation)
    return 0 if anyio.run(trafficdemo.run_demo) and is_right else 1


if __name__ == "__main__":
    sys.exit(main())
