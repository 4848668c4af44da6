"""Limits the threads that the messaging library (pynng) starts by itself."""

import pynng

# The library's own callbacks need two threads. One of each other kind is enough:
# addresses are dialled as IP numbers, and about ten links carry a few messages a second.
TASK_THREADS = 2
OTHER_THREADS = 1


def limit_link_threads() -> None:
    """Set the library's thread counts; must run before the process opens a first socket.

    By default it starts 30 threads on 8 cores, whatever the load is.
    """
    lib = pynng.lib
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_EXPIRE_THREADS, OTHER_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_POLLER_THREADS, OTHER_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_RESOLVER_THREADS, OTHER_THREADS)
