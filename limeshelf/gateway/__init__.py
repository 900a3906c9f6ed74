"""One path for every call: route, choose, send, relay, go on elsewhere, answer."""
