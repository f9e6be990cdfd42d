"""Defines the data types and messages that all components use.

It imports no other package of the project.
"""
