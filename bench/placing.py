"""Processor time of one round of the placer by the number of servers: steady, and while a version is rolled out."""

from __future__ import annotations

import time

import msgspec
from tabulate import tabulate

from vaneturn_core.configuration.schema import Configuration, Pipeline, Server, Stage
from vaneturn_core.identifiers import DataHall, PipelineName, VmId
from vaneturn_core.placing.parts import Holdings, group_parts
from vaneturn_core.placing.plan import plan_holdings

STAGES = 5
LAYERS = 80
SIZES = (30, 270, 810)
ROUNDS = 5


def make_configuration(servers: int) -> Configuration:
    per_stage = LAYERS // STAGES
    stages = tuple(
        Stage(
            vm=VmId(f"runner-{index}"), first=per_stage * (index % STAGES), end=per_stage * (index % STAGES + 1), rate=9
        )
        for index in range(servers)
    )
    declared = tuple(
        Server(vm=stage.vm, address="127.0.0.1:1", data_hall=DataHall("osborne"), memory=per_stage) for stage in stages
    )
    pipeline = Pipeline(
        name=PipelineName("ledgerlm"), model="ledger", version="1", layers=LAYERS, layer_bytes=1, stages=stages
    )
    return Configuration(servers=declared, pipelines=(pipeline,))


def time_rounds(configuration: Configuration, said: dict[VmId, Holdings]) -> float:
    """Give the seconds of processor time of one round."""
    started = time.process_time()
    for _ in range(ROUNDS):
        plan_holdings(configuration, said)
    return (time.process_time() - started) / ROUNDS


def main() -> None:
    rows = []
    for servers in SIZES:
        configuration = make_configuration(servers)
        parts = group_parts(configuration.pipelines)
        said = {vm: Holdings(1, tuple(held), (), ()) for vm, held in parts.items()}
        newer = msgspec.structs.replace(configuration.pipelines[0], version="2", previous_version="1")
        rolling = msgspec.structs.replace(configuration, pipelines=(newer,))
        rows.append([servers, time_rounds(configuration, said) * 1e3, time_rounds(rolling, said) * 1e3])
    print(tabulate(rows, headers=["servers", "steady ms", "rolling ms"], floatfmt=".1f"))


if __name__ == "__main__":
    main()
