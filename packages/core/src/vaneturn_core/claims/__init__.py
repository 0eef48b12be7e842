"""Claims for requests that must run at most once."""
