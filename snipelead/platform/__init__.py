"""Adapter for the platform that snipelead is deployed on.

It holds the platform's names, wire formats and protocols. Incoming data is
decoded once into the product's types, and outgoing data is encoded from them;
no routing or release decision is made here.
"""
