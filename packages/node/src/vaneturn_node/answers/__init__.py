"""Generation of answers over the stages of a route."""
