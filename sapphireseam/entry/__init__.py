"""Run an entry VM: callers' HTTP, keys, limits and routing."""
