"""Stand-ins, fleet, judge and simulator."""
