"""Options of sockets that several parts set."""

import socket
import struct

# Closing resets the connection and drops what was not sent (``SO_LINGER`` of 0 s).
RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
