"""What operators configure, and how it comes into force."""
