"""The owner is cut off from the store while callers of public queues go on asking it.

python3 -m soak.cut_owner [--seed N] [--seconds S] [--slot N]
A node without the store answers keyed calls only for as long as its configuration is fresh; on public
queues nothing but the ownership itself bounds the age of its answers.
"""

import asyncio
import re
import sys
import time

from soak import faults
from soak.__main__ import main
from soak.site import Config

LONGEST_CUT_S = 7


def owner_of(site):
    """The node that most others have seen as the owner of the newest term."""
    newest = (0, None)
    for node in site.nodes:
        log = (site.folder / f"{node.name}.log").read_text(errors="replace")
        for seen in re.finditer(r"event=owner_seen vm=(\S+) epoch=(\d+)", log):
            newest = max(newest, (int(seen[2]), seen[1]))
    return next((node for node in site.nodes if node.name == newest[1]), None)


async def cut_owner(site, rng):
    node = owner_of(site)
    if node is None or node.store_path.mode != "open":
        return
    mode = rng.choice(["silent", "one_way"])
    site.note(f"cut {node.name} {mode}")
    node.store_path.set_mode(mode)
    await asyncio.sleep(rng.uniform(4, LONGEST_CUT_S))
    node.store_path.set_mode("open")
    node.store_path.drop()
    node.calm_since = time.monotonic()


def with_public_queues(value):
    def shown(self):
        config = value(self)
        for route in config["routes"]:
            route["public"] = True
        return config
    return shown


if __name__ == "__main__":
    faults.ALL = [cut_owner]
    Config.value = with_public_queues(Config.value)
    sys.exit(main())
