"""Bounds the threads that the links' library starts by itself."""

import pynng

# Its own callbacks need two; names are dialled as IP numbers, and some ten links
# carry a few messages a second.
TASK_THREADS = 2
OTHER_THREADS = 1


def limit_link_threads() -> None:
    """Set the library's start parameters; they count from its first socket in a process.

    Without them it starts 30 threads on 8 cores, whatever it has to do.
    """
    lib = pynng.lib
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_EXPIRE_THREADS, OTHER_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_POLLER_THREADS, OTHER_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_RESOLVER_THREADS, OTHER_THREADS)
