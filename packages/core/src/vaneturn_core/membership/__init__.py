"""Membership of the nodes: who is believed alive."""
