"""API keys of customers, and the bound on their revocation."""
