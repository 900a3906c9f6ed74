"""Says from the gateways' logs how calls were served, and what the rest was lost to."""
