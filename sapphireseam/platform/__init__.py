"""Adapts Sapphireseam to the platform that hosts it.

Translates the platform's settings, configuration, headers, paths and list of replicas.
A replica is an instance of an upstream. The modules here do nothing else.
"""
