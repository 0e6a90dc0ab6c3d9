"""irisstand: a content delivery network that puts machines it does not need on standby."""

VERSION = "0.1.0"
