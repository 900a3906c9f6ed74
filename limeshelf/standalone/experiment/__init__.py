"""Experiments: the decision code on a virtual clock before models of engines."""
