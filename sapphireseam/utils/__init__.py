"""Code that all programs share: timers, settings, logs, life cycle, transport."""
