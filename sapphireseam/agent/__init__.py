"""Run the process beside an upstream: the last queue before the engine."""
