"""Decides limits, fairness, routing and retries."""
