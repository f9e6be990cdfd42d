"""Runs an agent beside one upstream, with the last queue before the engine."""
