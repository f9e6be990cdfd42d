"""Operator actions on a fleet: the library behind `seam-ctl`."""
