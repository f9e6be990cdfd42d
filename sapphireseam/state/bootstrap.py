"""Creates the cluster once, when the data folders of all first members are fresh.

A folder is fresh until it belongs to a cluster. A member that lost its folder
and a member that never ran must not create a second cluster from the bootstrap
list, without the member that holds the data of the first cluster. Two other
rules were rejected:

- A quorum of fresh members may create the cluster: two fresh folders beside one
  with data would create a second cluster.
- A fresh member may vote unless a majority reports that the cluster exists:
  this is wrong as soon as no majority can report it, after one lost folder and
  one late member.

Under the rule used here all first members have to be fresh, and each folder has
an id. The first start therefore needs every member up once, but no folder is
ever mistaken for another.

The member whose name sorts first asks all others for their folder ids. If every
one answers, is fresh and has the same bootstrap list, it draws a cluster id. It
durably saves the id and the members with their folders (the genesis), and sends
both to the others. A fresh member accepts the genesis only if it names the
member's own folder; until then it neither votes nor starts elections. If the
first member crashes half-way, the members that have the genesis send it on. If
it loses its folder before another member has the genesis, bootstrapping starts
again. Two geneses can't both get a quorum, because each member durably accepts
only one.

Afterwards a vote or an acknowledgement counts only from the folder that the
membership records. A member with another folder is a learner until it has
caught up.
"""

import asyncio
import logging

from sapphireseam.state import message, node as nodes

logger = logging.getLogger(__name__)

_CLUSTER_ID_BITS = 128


class Bootstrapper:
    """Create the cluster, and send the genesis on until every member has it."""

    def __init__(self, node: nodes.Node):
        self._node = node
        self._warned: set[tuple[str, ...]] = set()

    async def run(self) -> None:
        """Retry until the cluster exists and every first member has the genesis."""
        node = self._node
        while not node.identity.cluster:
            if self._is_first():
                await self._try_bootstrap()
            if not node.identity.cluster:
                await node.timer.sleep(node.options.heartbeat)
        waiting = [item for item in node.identity.genesis if item.name != node.name]
        while waiting:
            if not node.leader:
                waiting = await self._send_genesis(waiting)
            await node.timer.sleep(node.options.heartbeat)

    def _list_names(self) -> tuple[str, ...]:
        return tuple(sorted(item.name for item in self._node.options.bootstrap))

    def _is_first(self) -> bool:
        names = self._list_names()
        return bool(names) and names[0] == self._node.name

    async def _call_all(self, names, request) -> list:
        node = self._node
        calls = [node.call(name, request, node.options.call_timeout) for name in names]
        return await asyncio.gather(*calls)

    async def _try_bootstrap(self) -> None:
        node = self._node
        names = self._list_names()
        others = [name for name in names if name != node.name]
        request = message.IdentifyRequest(node.name)
        replies = await self._call_all(others, request)
        if not all(self._is_ready(reply, names) for reply in replies):
            return
        folders = {node.name: node.identity.folder}
        for name, reply in zip(others, replies, strict=True):
            folders[name] = reply.folder
        genesis = tuple(
            message.Member(item.name, item.address, True, folders[item.name])
            for item in node.options.bootstrap
        )
        cluster = f"{node.rng.getrandbits(_CLUSTER_ID_BITS):032x}"
        await node.join(cluster, genesis)
        await self._send_genesis([item for item in genesis if item.name != node.name])
        # Let this member start an election at once. The others wait for an election
        # timeout first, so it has no rival.
        node.election_timer_start = float("-inf")

    def _is_ready(self, reply, names: tuple[str, ...]) -> bool:
        if reply is None:
            return False
        if reply.names != names and reply.names not in self._warned:
            self._warned.add(reply.names)
            logger.warning(
                "bootstrap lists of members differ: %s and %s", names, reply.names
            )
        return not reply.cluster and reply.names == names

    async def _send_genesis(
        self, waiting: list[message.Member]
    ) -> list[message.Member]:
        """Send the genesis; return the members that may still need it."""
        node = self._node
        identity = node.identity
        request = message.FormRequest(node.name, identity.cluster, identity.genesis)
        replies = await self._call_all([item.name for item in waiting], request)
        return [
            member
            for member, reply in zip(waiting, replies, strict=True)
            if reply is None or (reply.folder == member.folder and not reply.cluster)
        ]
