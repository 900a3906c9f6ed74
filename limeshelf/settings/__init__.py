"""Settings of the processes: JSON files checked into attrs classes.

* ``gateway``: the settings of ``limeshelf-gateway``, and their checks.
* ``model``, ``load``, ``reference``, ``tls``: those of the own wire's programs, their
  checks, the reference page that is written from them, and their certificates.
* ``structure``: turns JSON into either, and lists every fault at once.
"""
