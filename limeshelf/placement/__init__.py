"""Which copy of which model stands at which replica."""
