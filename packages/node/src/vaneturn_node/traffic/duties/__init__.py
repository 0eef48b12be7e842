"""Registration, the placer's tenure and orders to servers. Of its sibling packages it may import `servers` only."""
