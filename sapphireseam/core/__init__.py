"""Defines the data types and messages that all components use; imports none of them."""
