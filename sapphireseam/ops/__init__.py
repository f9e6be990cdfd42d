"""Act as an operator: the library behind `seam-ctl`."""
