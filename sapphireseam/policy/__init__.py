"""Decide limits, fairness, routing and retries."""
