"""Serve every program alike: timers, settings, logs, life cycle, transport."""
