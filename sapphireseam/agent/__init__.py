"""Runs beside one upstream and holds the last queue before the engine."""
