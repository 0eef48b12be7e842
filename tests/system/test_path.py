"""The whole path of a request through real processes."""

from __future__ import annotations

import httpx
import openai
import pytest

from rig.installation import CUSTOMER_KEY, PIPELINE, Installation, caller_headers, expect_text, read_text


def test_chat_answer_equals_the_text_of_the_model(small: Installation) -> None:
    assert read_text(small.chat("Read invoice 17")) == expect_text("Read invoice 17")


def test_chat_streamed_with_published_client(small: Installation) -> None:
    with openai.OpenAI(api_key=CUSTOMER_KEY, base_url=small.url("entry-1") + "/v1", max_retries=0) as client:
        stream = client.chat.completions.create(
            model=PIPELINE, messages=[{"role": "user", "content": "Draft a note"}], seed=7, max_tokens=24, stream=True
        )
        texts = [chunk.choices[0].delta.content or "" for chunk in stream]
    assert "".join(texts) == expect_text("Draft a note")


def test_chat_long_prompt_is_sent_in_chunks(small: Installation) -> None:
    text = "invoice line " * 400
    assert read_text(small.chat(text)) == expect_text(text)


def test_plain_service_answers(small: Installation) -> None:
    url = small.url("entry-1") + "/services/brokerdesk/cases/4"
    response = small.client.get(url, headers=caller_headers())
    assert response.json()["path"] == "/cases/4"


@pytest.mark.parametrize(
    ("fields", "key", "status", "code"),
    [
        pytest.param({}, "no-such-key", 401, "unknown_key", id="unknown key"),
        pytest.param({"model": "none"}, CUSTOMER_KEY, 404, "unknown_model", id="unknown model"),
        pytest.param({"messages": 3}, CUSTOMER_KEY, 400, "malformed", id="malformed body"),
        pytest.param({"user": "x" * (9 << 20)}, CUSTOMER_KEY, 413, "too_large", id="too large"),
    ],
)
def test_refusals_say_not_run(small: Installation, fields: dict[str, object], key: str, status: int, code: str) -> None:
    response = small.chat("hello", None, key, **fields)
    assert response.status_code == status
    assert response.json()["error"]["code"] == code
    assert response.json()["error"]["run"] == "not_run"


def test_readiness_needs_a_configuration(installation: Installation) -> None:
    installation.start_platform()
    installation.start_node("entry-1")
    installation.wait_started()
    ready = installation.client.get(installation.url("entry-1") + "/readyz")
    assert ready.status_code == httpx.codes.SERVICE_UNAVAILABLE
    refused = installation.chat("hello")
    assert refused.headers["Retry-After"] == "1"
    assert refused.json()["error"]["code"] == "no_configuration"
