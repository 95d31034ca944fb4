"""Runs a node on the platform; see `lycheegw.platform.main`."""

import gc
import importlib

if __name__ == "__main__":
    # Nearly all objects that a start creates live until the process ends, so
    # collections before its end cost a seventh of its time and free nothing.
    gc.disable()
    importlib.import_module("lycheegw.platform.main").main()
