"""How many layers a backend server may hold, and how many requests fit beside them."""

from __future__ import annotations

from typing import Final

from vaneturn_core.traffic.configuration import EngineProfile
from vaneturn_core.traffic.servers import BackendServer, LayerRange

MAX_WEIGHTS_SHARE: Final = 0.75  # of a server's memory; the rest is for requests


class ServerMemory:
    """Memory arithmetic for the servers of one model."""

    def __init__(self, engine: EngineProfile) -> None:
        self._engine = engine
        self._request_bytes = (engine.usual_prompt + engine.usual_answer) * engine.cache_bytes  # for each layer

    def count_bytes(self, server: BackendServer) -> float:
        """Return the memory of a server in bytes."""
        return self._engine.kinds[server.kind or ""].bytes

    def count_most_layers(self, server: BackendServer) -> int:
        """Count how many layers a server may hold at most."""
        return max(1, int(MAX_WEIGHTS_SHARE * self.count_bytes(server) / self._engine.layer_bytes))

    def count_roomy_layers(self, server: BackendServer, requests: float) -> int:
        """Count how many layers a server may hold and still have memory for a number of requests."""
        layers = self.count_bytes(server) / (self._engine.layer_bytes + requests * self._request_bytes)
        return min(int(layers), self.count_most_layers(server))

    def count_free(self, server: BackendServer) -> int:
        """Count how many more layers a server may hold."""
        return max(0, self.count_most_layers(server) - sum(len(layers) for layers in server.layers))

    def count_requests(self, server: BackendServer, layers: LayerRange) -> float:
        """Count the requests that fit into a server's memory beside the given layers, at least one."""
        free = self.count_bytes(server) - len(layers) * self._engine.layer_bytes
        return max(1.0, free / (self._request_bytes * len(layers)))


__all__ = ["MAX_WEIGHTS_SHARE", "ServerMemory"]
