"""The one rule that derives what a process may hold for others from what its machine has."""

import collections.abc
import os
import resource

from irisstand import counters, node_settings, resource_budget

# The memory of a process that holds nothing for others: interpreter, libraries, tables.
PROCESS_BYTES = 56_000_000
# The rest is not used up, as the allocator doesn't return all that is free.
USABLE_FRACTION = 0.8
MIN_LIMIT_BYTES = 8_000_000
# The parts of the budget and of the descriptors that connections may take up.
CONNECTIONS_FRACTION = 0.25
DESCRIPTORS_FRACTION = 0.66
MIN_CONNECTIONS = 16


def usable_memory_bytes() -> int:
    """Return the memory that this process may use: that of the machine, or its limit of address space."""
    machine = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    limit = resource.getrlimit(resource.RLIMIT_AS)[0]
    return machine if limit == resource.RLIM_INFINITY else min(machine, limit)


def derive(
    settings: node_settings.Settings,
    now: collections.abc.Callable[[], float],
    process_counters: counters.Counters,
) -> resource_budget.ResourceBudget:
    """Return the budget of a process by the memory and the descriptors of its machine."""
    memory_bytes = settings.memory_bytes or usable_memory_bytes()
    descriptors = settings.descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    limit = max(MIN_LIMIT_BYTES, int((memory_bytes - PROCESS_BYTES) * USABLE_FRACTION))
    by_memory = int(limit * CONNECTIONS_FRACTION) // resource_budget.CONNECTION_BYTES
    connection_limit = max(MIN_CONNECTIONS, min(by_memory, int(descriptors * DESCRIPTORS_FRACTION)))
    return resource_budget.ResourceBudget(limit, connection_limit, now, process_counters)
