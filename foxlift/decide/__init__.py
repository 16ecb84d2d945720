"""What is decided beside the module: claims on tokens, the life of each attempt, the state of links to boxes.

Each is a state machine without I/O: events in, actions out, no clock but the one handed in.
"""
