"""Seeded simulation of a whole cluster in virtual time: fault injection, invariants and benchmarks."""
