"""Serve online requests and batch jobs on one fleet of inference back ends."""

__version__ = "0.1.0"
