"""Consensus of the core: ballots, voters, heartbeats and the read index."""
