"""Bad clients, one thread each: they send the head of a request that never ends, at full speed.

Arguments: the port of the front door, and the number of clients. Each reads what it is sent, stops when the
connection has ended for it, and after `LIMIT_S` at the latest.
"""

import select
import socket
import sys
import threading
import time

LIMIT_S = 4.0
BLOCK = b"a" * 65_536


def send_endless_head(port: int) -> None:
    started_at = time.monotonic()
    sent = 0
    seen = "nothing"
    try:
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(b"GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Padding: ")
            sock.setblocking(False)
            while time.monotonic() < started_at + LIMIT_S:
                readable, writable, _ = select.select([sock], [sock], [], 0.1)
                if readable:
                    answer = sock.recv(65_536)
                    seen = answer.split(b"\r\n")[0].decode("latin-1") or "the end of the connection"
                    break
                if writable:
                    sent += sock.send(BLOCK)
    except OSError as error:
        seen = f"{type(error).__name__}"
    elapsed_s = time.monotonic() - started_at
    sys.stdout.write(f"a bad client sent {sent / 1e6:.1f} MB, saw {seen} after {elapsed_s:.1f} s\n")


if __name__ == "__main__":
    threads = [
        threading.Thread(target=send_endless_head, args=(int(sys.argv[1]),)) for _ in range(int(sys.argv[2]))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
