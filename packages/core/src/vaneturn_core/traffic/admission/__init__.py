"""Admission of requests to prioritized services: the demand of all nodes and the decisions that follow from it."""
