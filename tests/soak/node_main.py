"""Runs the program of a node that reaches its store by way of a proxy.

Nodes know each other by the store's address, so that all have the same one in
their settings.

    python -m tests.soak.node_main PROXY_ADDRESS SETTINGS
"""

import sys
from typing import Any

from lycheegw.coordination import interfaces
from lycheegw.platform import main
from lycheegw.platform import store_client


def run(proxy_address: str, settings: str) -> None:
    """Runs the program until it is stopped."""

    def open_store(pool: Any, _: str, wait: Any) -> interfaces.KeyedStore:
        return store_client.StoreClient(pool, proxy_address, wait)

    main.ADAPTER = main.ADAPTER._replace(open_store=open_store)
    sys.argv = [sys.argv[0], settings]
    main.main()


if __name__ == "__main__":
    run(*sys.argv[1:])
