"""Distribution from controls to nodes and between controls."""
