"""The running director: protocol events in, the module's actions out.

Nothing is imported here: the platform's director takes the clock alone, in a small memory.
"""
