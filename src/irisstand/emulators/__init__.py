"""Emulators of systems outside of irisstand, origins and the platform, which record the requests they get."""
