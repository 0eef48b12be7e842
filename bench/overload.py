"""Goodput at one, two and ten times the bound, with admission and without it (the baseline)."""

from __future__ import annotations

import argparse
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpx

from rig.installation import CHAT_PATH, LAYERS, Installation, caller_headers, make_chat
from rig.measuring import take_quantile
from vaneturn_core.engine.tokens import count_tokens, encode_prompt
from vaneturn_node.http.chatformat import ChatMessage
from vaneturn_node.http.rendering import render_prompt

RATE = 200  # tokens a second of each of two stages
TOKENS = 20
PROMPT = "Remind household 12 of its bill"
POSITIONS = TOKENS + count_tokens(encode_prompt(render_prompt([ChatMessage("user", PROMPT)])))
CLIENT = httpx.Client(timeout=60, limits=httpx.Limits(max_connections=None, max_keepalive_connections=100))
GOOD = 5.0  # seconds within which an answer is of use


@dataclass
class Figures:
    """What the callers saw."""

    positions: int = 0  # of prompt and answer, of answers in time
    refusal_seconds: list[float] = field(default_factory=list)
    answer_seconds: list[float] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


def start(installation: Installation, *, admission: bool) -> None:
    installation.start_platform()
    middle = LAYERS // 2
    for first, end in ((0, middle), (middle, LAYERS)):
        options = ["--iteration-seconds", "0.002", "--token-seconds", str(1 / RATE)]
        installation.start_engine(f"runner-{first}", first, end, *options, rate=RATE)
    installation.start_node("entry-1")
    installation.declared["customers"][0]["max_in_progress"] = 100_000
    if not admission:
        installation.declared["pipelines"][0]["token_time"] = 1000.0
    installation.apply_everywhere()


def send(url: str, until: float, interval: float, figures: Figures) -> None:
    """Send at a fixed pace, whatever the answers are."""
    threads: list[threading.Thread] = []
    while time.monotonic() < until:
        threads.append(threading.Thread(target=ask, args=(url, figures)))
        threads[-1].start()
        time.sleep(interval)
    for thread in threads:
        thread.join()


def ask(url: str, figures: Figures) -> None:
    body = make_chat(PROMPT, max_tokens=TOKENS)
    headers = caller_headers(**{"Vaneturn-Timeout": "30"})
    started = time.monotonic()
    response = CLIENT.post(url, json=body, headers=headers)
    taken = time.monotonic() - started
    figures.counts[str(response.status_code)] += 1
    if not response.is_success:
        figures.refusal_seconds.append(taken)
        return
    figures.answer_seconds.append(taken)
    if taken <= GOOD:
        figures.positions += POSITIONS


def measure(load: float, seconds: float, *, admission: bool) -> Figures:
    with tempfile.TemporaryDirectory() as folder, Installation(Path(folder)) as installation:
        start(installation, admission=admission)
        url = installation.url("entry-1") + CHAT_PATH
        figures = Figures()
        send(url, time.monotonic() + seconds, POSITIONS / (RATE * load), figures)
    return figures


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12)
    options = parser.parse_args()
    print("load  admission  goodput of bound  answer p50 s  refusal p99 s  statuses")
    for load in (1.0, 2.0, 10.0):
        for admission in (True, False):
            got = measure(load, options.seconds, admission=admission)
            share = got.positions / (RATE * options.seconds)
            answer = take_quantile(got.answer_seconds or [0.0], 0.5)
            refusal = take_quantile(got.refusal_seconds or [0.0], 0.99)
            word = "yes" if admission else "no"
            print(f"{load:4} {word:>9} {share:16.2f} {answer:13.2f} {refusal:14.2f}   {dict(got.counts)}", flush=True)


if __name__ == "__main__":
    main()
