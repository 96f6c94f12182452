"""The adapter to the users' platform.

It alone knows the platform's names: it decodes settings, headers and bodies
into the project's types once, and encodes what the node answers.  It decides
nothing.
"""
