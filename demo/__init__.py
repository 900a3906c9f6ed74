"""Demo: a complete standalone system on one machine, exercised once and left running."""
