"""The director on the operators' platform: JSON lines from viewers, RTSP to servers, the coordinator's list.

It is another front end of the same program: the module (`foxlift/logic.py`) makes every choice of server,
rung, wait and refusal. Nothing is imported here because a director restarts often and in little memory.
"""
