"""State machines around the module: sessions of tokens, attempts at boxes, links to boxes.

None of them does I/O: events in, actions out, and the time only as an argument.
"""
