"""The configuration in force on a node, changes to it and the follower of its key."""
