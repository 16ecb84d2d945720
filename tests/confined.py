"""Starts a command under a system call filter, as the operators' fleet test does: one process only.

`python tests/confined.py COMMAND ...`. A call that a director must never make kills it with SIGSYS; calls
that the operators refuse with an error, so that programs fall back, get it here too. x86-64 Linux only.
"""

from __future__ import annotations

import ctypes
import errno
import os
import struct
import sys

CLONE_THREAD = 0x00010000
AF_UNIX = 1
ARCH_X86_64 = 0xC000003E
LOAD, EQUAL, ANY_BIT, RETURN = 0x20, 0x15, 0x45, 0x06  # BPF operations on 32-bit words
NUMBER, ARCH, FIRST_ARGUMENT = 0, 4, 16  # offsets in the kernel's seccomp_data
KILL, REFUSE, ALLOW = 0x80000000, 0x00050000, 0x7FFF0000

KILLED = {"sendfile": 40, "fork": 57, "vfork": 58, "splice": 275, "tee": 276, "vmsplice": 278}
KILLED |= {"io_uring_enter": 426, "io_uring_register": 427}
REFUSED = {
    "io_uring_setup": 425,
    "clone3": 435,
}  # tried first by the event loop and the C library, which both fall back
CLONE, SOCKET = 56, 41


def program() -> list[tuple[int, int, int, int]]:
    """Return the BPF program: operation, jump if true, jump if false, operand of each instruction."""
    made = [(LOAD, 0, 0, ARCH), (EQUAL, 1, 0, ARCH_X86_64), (RETURN, 0, 0, KILL), (LOAD, 0, 0, NUMBER)]
    for number in KILLED.values():
        made += [(EQUAL, 0, 1, number), (RETURN, 0, 0, KILL)]
    for number in REFUSED.values():
        made += [(EQUAL, 0, 1, number), (RETURN, 0, 0, REFUSE | errno.ENOSYS)]
    # clone is allowed for threads only; socket(AF_UNIX) is forbidden, a socket pair within the process is not
    made += [(EQUAL, 0, 4, CLONE), (LOAD, 0, 0, FIRST_ARGUMENT), (ANY_BIT, 1, 0, CLONE_THREAD)]
    made += [(RETURN, 0, 0, KILL), (RETURN, 0, 0, ALLOW)]
    made += [(EQUAL, 0, 3, SOCKET), (LOAD, 0, 0, FIRST_ARGUMENT), (EQUAL, 0, 1, AF_UNIX)]
    made += [(RETURN, 0, 0, KILL), (RETURN, 0, 0, ALLOW)]
    return made


def confine() -> None:
    """Install the filter for this process and its successors. Raises OSError if the kernel refuses."""
    code = b"".join(struct.pack("HBBI", *step) for step in program())
    steps = ctypes.create_string_buffer(code)
    header = struct.pack("HxxxxxxP", len(code) // 8, ctypes.addressof(steps))
    libc = ctypes.CDLL(None, use_errno=True)
    no_new_privileges, set_filter, by_filter = 38, 22, 2
    if libc.prctl(no_new_privileges, 1, 0, 0, 0) or libc.prctl(set_filter, by_filter, header):
        raise OSError(ctypes.get_errno(), "the kernel refuses the system call filter")


if __name__ == "__main__":
    confine()
    os.execvp(sys.argv[1], sys.argv[1:])
