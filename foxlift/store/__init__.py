"""Durable storage: a file port, an append-only log in segments, and the log of intents of paid set-ups."""

from foxlift.store.checked_file import decode_checked_file, encode_checked_file
from foxlift.store.files import DiskFiles, FilePort, SyncFile
from foxlift.store.intents import Intent, IntentLog, IntentOutcome, RecoveredIntent
from foxlift.store.log import LogError, LogReader, encode_frame, encode_header
from foxlift.store.segments import LogEntry, SegmentedLog, read_log

__all__ = [
    "DiskFiles",
    "FilePort",
    "Intent",
    "IntentLog",
    "IntentOutcome",
    "LogEntry",
    "LogError",
    "LogReader",
    "RecoveredIntent",
    "SegmentedLog",
    "SyncFile",
    "decode_checked_file",
    "encode_checked_file",
    "encode_frame",
    "encode_header",
    "read_log",
]
