"""Retry policies: state machines that map typed events to typed actions and do no I/O.

Module `policy` has their protocol and the loop that performs the actions; `events` and `actions` define the
input and output of every policy.
"""
