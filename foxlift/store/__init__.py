"""What must outlast the process: an append log behind a file port, and the record of paid set-ups."""

from foxlift.store.files import DiskFiles, FilePort, SyncFile
from foxlift.store.intents import Intent, IntentBook, Known, Verdict
from foxlift.store.log import LogError, LogReader, encode_frame, encode_header
from foxlift.store.sealed import seal, unseal
from foxlift.store.segments import Entry, SegmentedLog, read_log

__all__ = [
    "DiskFiles",
    "Entry",
    "FilePort",
    "Intent",
    "IntentBook",
    "Known",
    "LogError",
    "LogReader",
    "SegmentedLog",
    "SyncFile",
    "Verdict",
    "encode_frame",
    "encode_header",
    "read_log",
    "seal",
    "unseal",
]
