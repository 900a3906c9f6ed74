"""The inner protocol between limeshelf processes: messages, codec and sockets."""
