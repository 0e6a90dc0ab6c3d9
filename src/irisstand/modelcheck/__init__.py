"""Model check of the decision code: the real coroutines under a deterministic scheduler.

See docs/control/model.md.
"""
