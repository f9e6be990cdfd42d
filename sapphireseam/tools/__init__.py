"""Tools that build, check and measure the project."""
