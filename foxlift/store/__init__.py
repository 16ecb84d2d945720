"""What must outlast the process: an append log behind a file port, and the record of paid set-ups."""

from foxlift.store.files import DiskFiles, FilePort, SyncFile
from foxlift.store.intents import Intent, IntentBook, Known, Verdict
from foxlift.store.log import LogError, LogReader, encode_frame, encode_header

__all__ = [
    "DiskFiles",
    "FilePort",
    "Intent",
    "IntentBook",
    "Known",
    "LogError",
    "LogReader",
    "SyncFile",
    "Verdict",
    "encode_frame",
    "encode_header",
]
