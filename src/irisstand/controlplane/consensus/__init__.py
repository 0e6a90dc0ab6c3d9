"""Consensus between the control plane nodes: Paxos ballots, voter sets, heartbeats and the read index."""
