"""Parts of models: what an engine can hold, and which of it a pipeline wants where."""

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
        """Tell whether an engine that holds this can run the other."""
        same = (self.model, self.version, self.adapter) == (other.model, other.version, other.adapter)
        return same and self.first <= other.first and other.end <= self.end

    def __str__(self) -> str:
        adapter = f"+{self.adapter}" if self.adapter else ""
        return f"{self.model}:{self.version}{adapter}[{self.first},{self.end})"


class Holdings(Struct, frozen=True, tag="holdings", array_like=True):
    """What an engine says of itself when a link opens, and after each change or order."""

    fence: int  # the greatest of all orders seen; 0 on an engine that checks none
    held: tuple[Part, ...]  # ready for new sessions
    loading: tuple[Part, ...]
    ending: tuple[Part, ...]  # kept for the sessions that are on it, closed to new ones

    @property
    def target(self) -> frozenset[Part]:
        """What the newest order asked for."""
        return frozenset((*self.held, *self.loading))


def make_part(pipeline: Pipeline, stage: Stage) -> Part:
    """Name the part of a pipeline that a stage runs."""
    return Part(pipeline.model, pipeline.version, pipeline.adapter, stage.first, stage.end)


def list_versions(pipeline: Pipeline) -> list[Pipeline]:
    """List a pipeline as it is declared and, while a version is rolled out, as it was before."""
    if pipeline.previous_version in {None, pipeline.version}:
        return [pipeline]
    return [pipeline, msgspec.structs.replace(pipeline, version=pipeline.previous_version)]


def group_parts(pipelines: Iterable[Pipeline]) -> Mapping[VmId, frozenset[Part]]:
    """Group what pipelines want by the server that is to hold it."""
    grouped: defaultdict[VmId, set[Part]] = defaultdict(set)
    for pipeline in pipelines:
        for stage in pipeline.stages:
            grouped[stage.vm].add(make_part(pipeline, stage))
    return {vm: frozenset(parts) for vm, parts in grouped.items()}


def list_lacking(pipeline: Pipeline, held: Mapping[VmId, Collection[Part]]) -> set[VmId]:
    """List the servers of a pipeline that do not hold its parts; what is not known of is taken to hold them."""
    return {vm for vm, wanted in group_parts([pipeline]).items() if vm in held and not is_holding(held[vm], wanted)}


def is_holding(held: Collection[Part], wanted: Iterable[Part]) -> bool:
    """Tell whether an engine can run every wanted part now."""
    return all(any(part.covers(one) for part in held) for one in wanted)


def count_bytes(configuration: Configuration, parts: Iterable[Part]) -> int:
    """Give the bytes of weights of parts; 0 for models that no pipeline names any more."""
    layer_bytes = {pipeline.model: pipeline.layer_bytes for pipeline in configuration.pipelines}
    return sum(layer_bytes.get(part.model, 0) * (part.end - part.first) for part in parts)


__all__ = ["Holdings", "Part", "count_bytes", "group_parts", "is_holding", "list_lacking", "list_versions", "make_part"]
