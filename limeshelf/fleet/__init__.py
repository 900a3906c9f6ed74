"""Which model and adapter sits on which replica: demand, leader, plan and orders."""
