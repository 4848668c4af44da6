"""Socket options that several parts set."""

import socket
import struct

# ``SO_LINGER`` of 0 s: closing resets the connection and drops unsent data.
RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
