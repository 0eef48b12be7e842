"""Planning of which model parts each engine holds."""
