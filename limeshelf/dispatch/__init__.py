"""One gateway decides for all which replica reads which prompt when; others ask it."""
