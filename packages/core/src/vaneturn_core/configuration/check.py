"""Cross-checks of a configuration that the schema cannot express."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Iterator

from vaneturn_core.configuration.schema import Configuration, Pipeline
from vaneturn_core.faults import Fault
from vaneturn_core.identifiers import VmId
from vaneturn_core.routing.hops import find_reachable, list_hops


def check_configuration(configuration: Configuration) -> list[Fault]:
    """List all faults with their paths in the document."""
    return [
        *_check_unique("servers", (server.vm for server in configuration.servers)),
        *_check_unique("pipelines", (pipeline.name for pipeline in configuration.pipelines)),
        *_check_unique("services", (service.name for service in configuration.services)),
        *_check_unique("classes", (work_class.name for work_class in configuration.classes)),
        *_check_unique("customers", (customer.name for customer in configuration.customers)),
        *_check_unique("customers", (customer.key_sha256 for customer in configuration.customers), ".key_sha256"),
        *_check_customers(configuration),
        *_check_services(configuration),
        *_check_pipelines(configuration),
        *_check_memory(configuration),
    ]


def _check_unique(section: str, names: Iterable[str], suffix: str = "") -> Iterator[Fault]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Fault(f"$.{section}[{index}]{suffix}", f"expected a unique value, {name!r} stands twice")
        seen.add(name)


def _check_customers(configuration: Configuration) -> Iterator[Fault]:
    classes = {work_class.name for work_class in configuration.classes}
    for index, customer in enumerate(configuration.customers):
        if customer.work_class not in classes:
            yield Fault(f"$.customers[{index}].work_class", f"expected a declared class, got {customer.work_class!r}")


def _check_services(configuration: Configuration) -> Iterator[Fault]:
    servers = {server.vm for server in configuration.servers}
    for index, service in enumerate(configuration.services):
        for position, vm in enumerate(service.servers):
            if vm not in servers:
                yield Fault(f"$.services[{index}].servers[{position}]", f"expected a declared server, got {vm!r}")


def _check_pipelines(configuration: Configuration) -> Iterator[Fault]:
    servers = {server.vm for server in configuration.servers}
    for index, pipeline in enumerate(configuration.pipelines):
        path = f"$.pipelines[{index}]"
        yield from _check_stages(path, pipeline, servers)
        if 0 not in find_reachable(list_hops(pipeline), pipeline.layers):
            yield Fault(f"{path}.stages", f"expected ranges that tile the layers [0, {pipeline.layers})")


def _check_memory(configuration: Configuration) -> Iterator[Fault]:
    needed: Counter[VmId] = Counter()
    for pipeline in configuration.pipelines:
        for stage in pipeline.stages:
            needed[stage.vm] += pipeline.layer_bytes * (stage.end - stage.first)
    for index, server in enumerate(configuration.servers):
        if server.memory and needed[server.vm] > server.memory:
            yield Fault(f"$.servers[{index}].memory", f"expected at least {needed[server.vm]} bytes for its stages")


def _check_stages(path: str, pipeline: Pipeline, servers: Collection[VmId]) -> Iterator[Fault]:
    for index, stage in enumerate(pipeline.stages):
        if stage.vm not in servers:
            yield Fault(f"{path}.stages[{index}].vm", f"expected a declared server, got {stage.vm!r}")
        if not stage.first < stage.end <= pipeline.layers:
            yield Fault(f"{path}.stages[{index}]", f"expected 0 <= first < end <= {pipeline.layers}")


__all__ = ["check_configuration"]
