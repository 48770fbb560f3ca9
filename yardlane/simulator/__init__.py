"""Connects the decisions to a simulator, which uses a binary wire format on standard input and output."""
