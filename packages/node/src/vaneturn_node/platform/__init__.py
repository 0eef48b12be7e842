"""Wire names, formats and calls of the users' platform; decisions are made elsewhere."""
