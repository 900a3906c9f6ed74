"""Process settings: JSON files checked into attrs classes."""
