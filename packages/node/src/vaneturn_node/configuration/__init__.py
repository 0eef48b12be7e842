"""The configuration in force on a node: following, changing and sharing it."""
