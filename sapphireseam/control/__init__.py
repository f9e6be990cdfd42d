"""Runs a control VM: the state machine, its services and its watchers."""
