"""Build, check and measure the project."""
