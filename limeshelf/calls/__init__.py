"""What a caller asks for, in the product's own terms: calls, routes, services."""
