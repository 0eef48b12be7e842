"""Adapters to the services of an installation of its own: key-value service and list of VMs."""
