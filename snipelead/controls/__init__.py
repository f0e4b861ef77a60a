"""Distribution of releases and targets to nodes and among controls."""
