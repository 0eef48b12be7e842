"""Under overload requests are refused immediately, the response says so, and refused requests did not run."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import httpx

from rig.installation import CHAT_PATH, CUSTOMER_KEY, Installation, caller_headers, expect_text, make_chat, read_text

FLOOD = 60


def flood(installation: Installation, key: str = CUSTOMER_KEY) -> list[httpx.Response]:
    def send(number: int) -> httpx.Response:
        body = make_chat(f"letter {number}", max_tokens=20)
        return httpx.post(installation.url("entry-1") + CHAT_PATH, json=body, headers=caller_headers(key), timeout=60)

    with ThreadPoolExecutor(FLOOD) as threads:
        return list(threads.map(send, range(FLOOD)))


def start_low_capacity(installation: Installation) -> None:
    """Start one server for each half of the model, each with a capacity of 100 tokens per second."""
    installation.start_platform()
    for first, end in ((0, 6), (6, 12)):
        installation.start_engine(f"runner-{first}", first, end, "--token-seconds", "0.008", rate=100)
    installation.start_node("entry-1")
    installation.apply_everywhere()


def test_flood_is_served_or_refused_and_refused_was_not_run(installation: Installation) -> None:
    start_low_capacity(installation)
    answers = flood(installation)
    served = [number for number, answer in enumerate(answers) if answer.is_success]
    refused = [answer for answer in answers if not answer.is_success]
    assert served
    assert refused
    for number in served:
        assert read_text(answers[number]) == expect_text(f"letter {number}", max_tokens=20)
    for answer in refused:
        assert answer.status_code == httpx.codes.SERVICE_UNAVAILABLE
        assert answer.json()["error"]["run"] == "not_run"
        assert int(answer.headers["Retry-After"]) >= 1
    entries = installation.read_journal("runner-0")
    assert len({entry["session"] for entry in entries if entry["event"] == "run"}) == len(served)


def test_customer_over_its_limit_gets_429(installation: Installation) -> None:
    start_low_capacity(installation)
    limited = installation.describe_customer("small", "small-key-for-tests", "portal", max_in_progress=1)
    installation.declared["customers"].append(limited)
    assert installation.apply().is_success
    statuses = {answer.status_code for answer in flood(installation, "small-key-for-tests")}
    assert httpx.codes.TOO_MANY_REQUESTS in statuses
    assert statuses <= {httpx.codes.OK, httpx.codes.TOO_MANY_REQUESTS}
