"""Adapter between the platform that runs the processes and the node.

Only this package depends on the formats and names of the platform.  It
decodes settings, headers and bodies into the types of the other packages, and
encodes the responses of the node.  It also derives the node's settings from
those of the platform, and starts, drains and stops the process.
"""
