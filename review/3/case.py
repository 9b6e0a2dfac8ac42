"""Bytes without end in a body: chunks, one after the other, at 3 MB a second."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import endless  # noqa: E402

CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"


def write_endless(connection, head):
    connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
    while True:
        connection.sendall(CHUNK)
        time.sleep(0.02)


if __name__ == "__main__":
    endless.main(write_endless)
