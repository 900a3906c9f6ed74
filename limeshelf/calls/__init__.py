"""What a call and a configuration are: values that decide nothing."""
