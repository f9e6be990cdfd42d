"""Runs an entry VM: HTTP for callers, key checks, rate limits and routing."""
