"""Membership of the nodes and their known states."""
