"""Keep the replicated log, its snapshots, elections and membership."""
