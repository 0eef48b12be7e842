"""Adapters to the services of a standalone installation: key-value service and list of VMs."""
