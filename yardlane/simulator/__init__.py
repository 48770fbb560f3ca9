"""Runs the decisions behind the binary wire format of a simulator, on standard input and output."""
