"""What the scripts of the review share: a small deployment of real gateway processes."""
