"""Small fakes at the interfaces, used by tests and randomised runs."""
