"""What is blamed when servers crash under requests: the crashes, their suspects, what clears them, and the causes."""
