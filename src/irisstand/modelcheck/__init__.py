"""Model checker for the consensus code, which runs the real coroutines under a deterministic scheduler.

The page docs/control/model.md describes it.
"""
