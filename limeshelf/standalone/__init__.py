"""limeshelf on its own wire: entry, placer and admin programs with their stand-ins.

The users' platform is served by the packages beside this one (:doc:`design/layout`).
"""
