"""Index of the configuration in force for the look-ups of each request."""

from __future__ import annotations

import hashlib

from vaneturn_core.configuration.schema import Configuration, Customer, Pipeline, Server, Service, WorkClass
from vaneturn_core.identifiers import ClassName, PipelineName, ServiceName, VmId


class ConfigurationView:
    """The configuration in force, indexed for requests."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._customers = {customer.key_sha256: customer for customer in configuration.customers}
        self._classes = {work_class.name: work_class for work_class in configuration.classes}
        self._pipelines = {pipeline.name: pipeline for pipeline in configuration.pipelines}
        self._services = {service.name: service for service in configuration.services}
        self._servers = {server.vm: server for server in configuration.servers}

    def find_customer(self, key: str) -> Customer | None:
        """Find the customer of a bearer key."""
        return self._customers.get(hashlib.sha256(key.encode()).hexdigest())

    def find_class(self, customer: Customer) -> WorkClass:
        """Find the class of a customer; the checks of the configuration guarantee that it exists."""
        return self._classes[ClassName(customer.work_class)]

    def find_pipeline(self, name: PipelineName) -> Pipeline | None:
        """Find a pipeline by the model name that callers use."""
        return self._pipelines.get(name)

    def find_service(self, name: ServiceName) -> Service | None:
        """Find a plain service."""
        return self._services.get(name)

    def find_server(self, vm: VmId) -> Server | None:
        """Find a server; return None if it is no longer declared."""
        return self._servers.get(vm)

    def list_pipelines(self) -> list[PipelineName]:
        """List the names of all pipelines."""
        return list(self._pipelines)


__all__ = ["ConfigurationView"]
