"""The operators' HTTP interface."""
