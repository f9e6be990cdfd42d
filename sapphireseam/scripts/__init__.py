"""Command lines of the programs, which only call the library."""
