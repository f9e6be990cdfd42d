"""Adapts Sapphireseam to the platform that hosts it.

Translates the platform's settings, configuration, headers, paths and list of replicas
(instances of an upstream). The modules here contain nothing else.
"""
