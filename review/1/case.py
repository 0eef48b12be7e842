"""A new configuration adds a tenant, whose name has letters beyond Latin-1; then this tenant sends requests."""

from __future__ import annotations

import asyncio
from pathlib import Path

from deployment import (
    Answer, Client, Deployment, KeptClient, Node, Record, has_trouble, list_lost, open_deployment, restart_ended,
    run_case,
)  # fmt: skip
from deployment import WORK_TIME_S
from standins.platform.operator import configure, make_configuration

KEPT_CLIENTS = 8  # of each node
NEW_KEY = "n2ctnfzs989anu6wsjnb"
NAME, PLAIN_NAME = "Родопи", "rodopi"


async def ask(request: str, node: Node, record: Record) -> Answer:
    connection = await Client.connect(node.client_port)
    answer = await connection.ask(
        request, "GET", "/check/1", now=lambda: record.now, X_Deadline_Ms="1500", Authorization=f"Token {NEW_KEY}"
    )
    connection.close()
    record.write(f"client of the new tenant, at {node.name}: {answer.describe()}")
    return answer


async def play(deployment: Deployment, record: Record) -> bool:
    fleet, nodes = deployment.fleet, deployment.nodes
    desks = await deployment.add_runners("desk", ["east", "east", "west"], None)
    for desk in desks:
        desk.work_time = WORK_TIME_S
    clients = [KeptClient(f"{node.name}-{one}", node, record) for node in nodes for one in range(KEPT_CLIENTS)]
    began = record.now
    serving = [asyncio.create_task(client.run(began + 8.0)) for client in clients]
    restarting = asyncio.create_task(restart_ended(nodes, record))
    await asyncio.sleep(2.0)
    configuration = make_configuration(2)
    name = NAME if has_trouble() else PLAIN_NAME
    configuration["tenants"].append({"name": name, "api_keys": [NEW_KEY], "priority": 1})
    configure(fleet.store, configuration)
    record.write(f"configuration 2 is acknowledged: it adds the tenant {name}")
    await asyncio.sleep(2.5)
    # the client repeats its safe request once, at another node, as clients do after a closed connection
    for attempt, node in enumerate(nodes[:2], 1):
        answer = await ask(f"new-tenant-{attempt}", node, record)
        if answer.status is not None:
            break
        await asyncio.sleep(0.1)
    await asyncio.gather(*serving)
    restarting.cancel()
    lost = list_lost(clients, fleet, record)
    record.write(f"processes that ended by themselves: {sum(len(node.exits) for node in nodes)}")
    return len(lost) > 3


async def main(record: Record) -> bool:
    async with open_deployment(3) as deployment:
        return await play(deployment, record)


run_case(main, Path(__file__).parent)
