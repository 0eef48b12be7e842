"""Parts of models: the units that engines hold, and the parts that a pipeline needs on each server."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

import msgspec
from msgspec import Struct

from vaneturn_core.configuration.schema import Configuration, Pipeline, Stage
from vaneturn_core.identifiers import VmId


class Part(Struct, frozen=True, array_like=True):
    """The layers [first, end) of one version of a model, with its adapter."""

    model: str
    version: str
    adapter: str | None
    first: int
    end: int

    def covers(self, other: Part) -> bool:
        """Tell whether an engine that holds this part can run the other one."""
        is_same_model = (self.model, self.version, self.adapter) == (other.model, other.version, other.adapter)
        return is_same_model and self.first <= other.first and other.end <= self.end

    def __str__(self) -> str:
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}:{self.version}{adapter}[{self.first},{self.end})"


class Holdings(Struct, frozen=True, tag="holdings", array_like=True):
    """An engine's report of its parts, sent when a link opens and after each change or order."""

    fence: int  # the highest fence seen in an order; 0 on an engine that does not check fences
    held: tuple[Part, ...]  # ready for new sessions
    loading: tuple[Part, ...]
    ending: tuple[Part, ...]  # kept for the sessions that use them, closed to new ones

    @property
    def target(self) -> frozenset[Part]:
        """The parts that the newest order requested."""
        return frozenset((*self.held, *self.loading))


def make_part(pipeline: Pipeline, stage: Stage) -> Part:
    """Make the part of a pipeline that a stage runs."""
    return Part(pipeline.model, pipeline.version, pipeline.adapter, stage.first, stage.end)


def list_versions(pipeline: Pipeline) -> list[Pipeline]:
    """List the pipeline as declared and, during a rollout, a copy of it with the previous version."""
    if pipeline.previous_version in {None, pipeline.version}:
        return [pipeline]
    return [pipeline, msgspec.structs.replace(pipeline, version=pipeline.previous_version)]


def group_parts(pipelines: Iterable[Pipeline]) -> Mapping[VmId, frozenset[Part]]:
    """Group the parts that pipelines need by the server that should hold them."""
    grouped: defaultdict[VmId, set[Part]] = defaultdict(set)
    for pipeline in pipelines:
        for stage in pipeline.stages:
            grouped[stage.vm].add(make_part(pipeline, stage))
    return {vm: frozenset(parts) for vm, parts in grouped.items()}


def list_lacking_servers(pipeline: Pipeline, held: Mapping[VmId, Collection[Part]]) -> set[VmId]:
    """List the servers of a pipeline that lack some of its parts; servers missing from `held` count as complete."""
    return {vm for vm, wanted in group_parts([pipeline]).items() if vm in held and not is_holding(held[vm], wanted)}


def is_holding(held: Collection[Part], wanted: Iterable[Part]) -> bool:
    """Tell whether an engine can run every wanted part now."""
    return all(any(part.covers(wanted_part) for part in held) for wanted_part in wanted)


def count_bytes(configuration: Configuration, parts: Iterable[Part]) -> int:
    """Sum the weight bytes of parts; models that no pipeline uses any more count as 0."""
    layer_bytes = {pipeline.model: pipeline.layer_bytes for pipeline in configuration.pipelines}
    return sum(layer_bytes.get(part.model, 0) * (part.end - part.first) for part in parts)


__all__ = [
    "Holdings",
    "Part",
    "count_bytes",
    "group_parts",
    "is_holding",
    "list_lacking_servers",
    "list_versions",
    "make_part",
]
