"""A model whose answers differ if a layer is skipped, run twice, swapped or run for another session."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

HIDDEN_BYTES = 8
TOKEN_BYTES = 4
VOCABULARY = 50_000
END_MODULUS = 512  # on average, one token in this many ends an answer

Chain = tuple[bytes, ...]  # one digest per layer over all positions so far; stands in for the KV cache


@dataclass(frozen=True)
class Weights:
    """Identifies the weights that run."""

    model: str
    version: str
    adapter: str | None

    def name_layer(self, layer: int) -> bytes:
        return f"{self.model}/{self.version}/{self.adapter}/{layer}/".encode()


class Layers:
    """The layers [first, end) of one model."""

    def __init__(self, weights: Weights, first: int, end: int) -> None:
        self._names = [weights.name_layer(layer) for layer in range(first, end)]
        self._is_first = first == 0
        self.empty: Chain = tuple(bytes(HIDDEN_BYTES) for _ in self._names)

    def run(self, before: Chain, hidden: bytes) -> tuple[Chain, bytes]:
        """Run one position; return the chain after it and its activations."""
        if self._is_first:
            hidden = xxhash.xxh3_64_digest(b"embed" + hidden)
        after = []
        for name, state in zip(self._names, before, strict=True):
            link = xxhash.xxh3_64_digest(state + hidden)
            hidden = xxhash.xxh3_64_digest(name + link)
            after.append(link)
        return tuple(after), hidden


@dataclass(frozen=True)
class Sampled:
    """A sampled token."""

    token: int
    text: str
    is_last: bool


def sample(hidden: bytes, seed: int, position: int) -> Sampled:
    """Sample the token that follows a position."""
    value = xxhash.xxh3_64_intdigest(hidden + f"{seed}/{position}".encode())
    token = value % VOCABULARY
    return Sampled(token, f" w{token}", token % END_MODULUS == 0)


def generate(weights: Weights, layers: int, prompt: bytes, seed: int, max_tokens: int) -> list[Sampled]:
    """Generate the answer that every correct run must produce."""
    whole = Layers(weights, 0, layers)
    chain, hidden = whole.empty, b""
    for index in range(0, len(prompt), TOKEN_BYTES):
        chain, hidden = whole.run(chain, prompt[index : index + TOKEN_BYTES])
    position = len(prompt) // TOKEN_BYTES
    answer: list[Sampled] = []
    while len(answer) < max_tokens:
        sampled = sample(hidden, seed, position)
        answer.append(sampled)
        if sampled.is_last:
            break
        chain, hidden = whole.run(chain, sampled.token.to_bytes(TOKEN_BYTES, "big"))
        position += 1
    return answer
