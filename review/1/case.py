"""Bytes without end in a head: interim responses with many field lines, one after the other."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import endless  # noqa: E402

BLOCK = b"HTTP/1.1 102 Processing\r\n" + b"a:\r\n" * 16000 + b"\r\n"


def write_endless(connection, _head):
    while True:
        connection.sendall(BLOCK)


if __name__ == "__main__":
    endless.main(write_endless)
