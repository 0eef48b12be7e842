"""Decisions on which backend servers an answer crosses."""
