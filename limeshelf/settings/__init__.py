"""Settings of the processes: JSON files converted to attrs classes and validated.

* ``gateway``: the settings of ``limeshelf-gateway`` and their validation.
* ``model``, ``load``, ``reference``, ``tls``: the settings of the standalone programs, their
  validation, the reference page generated from them, and their certificates.
* ``structure``: converts JSON to these classes and reports all faults at once.
"""
