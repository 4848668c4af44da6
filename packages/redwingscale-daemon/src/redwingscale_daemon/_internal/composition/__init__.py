"""The composition root, and the groups of parts that it wires."""
