"""Small fakes at the interfaces of an instance, on virtual time."""
