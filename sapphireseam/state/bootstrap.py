"""Form the cluster once, from folders that are all fresh.

What must never happen: a member that lost its folder and another that never
ran form a second cluster from the bootstrap list, without the member that
holds the first one's data. Weighed were three ways. A quorum of fresh members
that may form: two fresh folders beside one full one would do just that. A
fresh member that votes unless a majority says the cluster exists: right only
if a majority still knows, which one lost folder and one late member undo. All
members fresh, each folder named: the first start needs every member up, once,
and in return no folder is ever taken for another. The last one is chosen.

The member whose name sorts first asks all others for their folders. Only if
every one answers, is fresh and has the same bootstrap list does it draw a
cluster id, keep both with the folders (the genesis) durably, and hand them
out. A fresh member takes the genesis only if it names its own folder. Until
then it neither votes nor stands. Should the first member die half-way, those
that have the genesis hand it on; should it lose its folder before anybody had
the genesis, the next round begins anew. Two geneses can't both get a quorum,
for each member durably takes one only.

From then on a vote or an acknowledgement counts only from the folder on
record. A member with another folder is a learner until it has caught up.
"""

import asyncio
import logging

from sapphireseam.state import message, node as nodes

logger = logging.getLogger(__name__)

_CLUSTER_BITS = 128


class Bootstrapper:
    """Form the cluster, or hand on the genesis until every member has it."""

    def __init__(self, node: nodes.Node):
        self._node = node
        self._warned: set[tuple[str, ...]] = set()

    async def run(self) -> None:
        """Try until the cluster is formed and every first member knows."""
        node = self._node
        while not node.identity.cluster:
            if self._is_first():
                await self._try_form()
            if not node.identity.cluster:
                await node.timer.sleep(node.options.heartbeat)
        waiting = [item for item in node.identity.genesis if item.name != node.name]
        while waiting:
            if not node.leader:
                waiting = await self._hand_out(waiting)
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

    async def _try_form(self) -> None:
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
        cluster = f"{node.rng.getrandbits(_CLUSTER_BITS):032x}"
        await node.join(cluster, genesis)
        await self._hand_out([item for item in genesis if item.name != node.name])
        # The others wait for a while, so that the first member isn't rivalled.
        node.election_timer_start = float("-inf")

    def _is_ready(self, reply, names: tuple[str, ...]) -> bool:
        if reply is None:
            return False
        if reply.names != names and reply.names not in self._warned:
            self._warned.add(reply.names)
            logger.warning("bootstrap lists differ: %s and %s", names, reply.names)
        return not reply.cluster and reply.names == names

    async def _hand_out(self, waiting: list[message.Member]) -> list[message.Member]:
        """Offer the genesis; return those that may still need it."""
        node = self._node
        identity = node.identity
        request = message.FormRequest(node.name, identity.cluster, identity.genesis)
        replies = await self._call_all([item.name for item in waiting], request)
        return [
            member
            for member, reply in zip(waiting, replies, strict=True)
            if reply is None or (reply.folder == member.folder and not reply.cluster)
        ]
