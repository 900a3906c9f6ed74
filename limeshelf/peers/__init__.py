"""The protocol between limeshelf processes: messages, their encoding, and connections."""
