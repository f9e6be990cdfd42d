"""Hold the plain data of the fleet and the verbs on it; import nothing above."""
