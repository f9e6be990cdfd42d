"""Replicates commands with Raft: log, snapshots, elections and membership."""
