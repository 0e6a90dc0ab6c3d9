"""Stand-ins for outside systems: origins and their record of what was asked."""
