"""Start each program: thin command lines over library calls."""
