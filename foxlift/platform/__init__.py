"""The director on the operators' platform: JSON lines from viewers, RTSP to boxes, the coordinator's feed.

One more way in and out of the same program: every choice of box, rung, wait and refusal is the module's
(`foxlift/logic.py`). Nothing is imported here, for a director starts anew often and in little memory.
"""
