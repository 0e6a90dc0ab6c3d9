"""Retry policies: they take typed events, return typed actions and do no I/O.

`policy` has the protocol and the loop that carries out what a policy decides; `events` and `actions` are
what it takes and returns.
"""
