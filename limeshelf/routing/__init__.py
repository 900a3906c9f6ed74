"""Which replica a plain call goes to; each gateway decides it by itself."""
