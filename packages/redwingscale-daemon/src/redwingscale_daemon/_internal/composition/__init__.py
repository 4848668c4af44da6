"""The composition root and the three groups of parts that it wires."""
