"""Experiments: the decision code on a virtual clock before models of engines.

``limeshelf-experiment`` is the only thing that sets the policies of the own wire side by
side (docs/design/experiments.rst); the users' bench plays the gateway, which has others.
"""
