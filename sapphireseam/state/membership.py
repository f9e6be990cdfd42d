"""Change the members one at a time through the log.

Each change alters at most one voter, so that any quorum before it and any
after it share a member, and waits until the change before it is committed and
the leader has committed an entry of its own term. The leader by itself turns a
voter whose folder is gone into a learner with the new folder, and promotes it
once it has everything.

Where the leader keeps the number of voters by itself, it makes one step at a
time: a voter that is to leave goes once a learner that has everything can take
its place, and a silent one goes before, so that at no moment more voters count
than can answer.
"""

import asyncio
from collections.abc import Callable

from sapphireseam.core import error
from sapphireseam.state import message, node as nodes, peer as peers, roster

Edit = Callable[[nodes.Members], nodes.Members]


def _report_conflict(text: str) -> error.ControlError:
    return error.ControlError(text, error.Kind.CONFLICT)


class Membership:
    """Change the members on the leader, and keep a peer for each of them."""

    def __init__(self, node: nodes.Node):
        self._node = node
        self._lock = asyncio.Lock()
        # Members that are to leave for good, set by whoever decides that.
        self.leaving: frozenset[str] = frozenset()

    def refresh_peers(self) -> None:
        """Serve exactly the members of the newest entry, if this one leads."""
        node = self._node
        if node.role is not nodes.Role.LEADER:
            return
        before, node.peers = node.peers, {}
        for member in node.members:
            if member.name != node.name:
                self._serve(member, before.get(member.name))
        for held in before.values():
            held.wake()

    def _serve(self, member: message.Member, held: peers.Peer | None) -> None:
        node = self._node
        if held is not None and held.member.folder == member.folder:
            held.member = member
            node.peers[member.name] = held
            return
        peer = peers.Peer(node, member)
        node.peers[member.name] = peer
        peer.start()

    async def change(self, edit: Edit) -> None:
        """Put edited members into the log and wait until they are committed."""
        node = self._node
        async with self._lock:
            await node.changed.wait_until(self._is_settled)
            members = edit(node.members)
            if members != node.members:
                data = roster.encode(members)
                await node.append(message.MEMBERS, data)

    def _is_settled(self) -> bool:
        node = self._node
        node.check_leading()
        return node.commit >= max(node.term_start, node.roster.index)

    async def add(self, name: str, address: str) -> None:
        """Add a learner; its folder is recorded when it is first reached."""

        def edit(members: nodes.Members) -> nodes.Members:
            if any(member.name == name for member in members):
                raise _report_conflict(f"{name} is a member already")
            return (*members, message.Member(name, address, voter=False))

        await self.change(edit)

    async def remove(self, name: str) -> None:
        """Remove a member; a leader that is removed steps down after it."""

        def edit(members: nodes.Members) -> nodes.Members:
            rest = tuple(member for member in members if member.name != name)
            if not any(member.voter for member in rest):
                raise _report_conflict(f"{name} is the last voter")
            return rest

        await self.change(edit)

    async def promote(self, name: str) -> None:
        """Make a learner a voter, once it holds everything that is committed."""
        node = self._node

        def is_ready() -> bool:
            node.check_leading()
            if node.find_member(name) is None:
                raise _report_conflict(f"{name} is no member")
            return self._is_caught_up(name)

        def edit(members: nodes.Members) -> nodes.Members:
            # The folder may have been replaced while this change waited.
            if not self._is_caught_up(name):
                raise _report_conflict(f"{name} has fallen behind")
            return _replace(members, name, voter=True, returning=False)

        await node.changed.wait_until(is_ready)
        await self.change(edit)

    def _is_caught_up(self, name: str) -> bool:
        node = self._node
        member = node.find_member(name)
        if member is None or member.voter:
            return member is not None
        peer = node.peers.get(name)
        return peer is not None and peer.is_caught_up and peer.match >= node.term_start

    async def record_folder(self, name: str, folder: str) -> None:
        """Put a member's new folder on record, as a learner's."""

        def edit(members: nodes.Members) -> nodes.Members:
            held = next(item for item in members if item.name == name)
            if held.folder == folder:
                return members
            is_returning = held.voter or held.returning
            return _replace(
                members, name, voter=False, folder=folder, returning=is_returning
            )

        await self.change(edit)

    async def run(self) -> None:
        """Look after replaced members for as long as the process lives."""
        node = self._node
        while True:
            await node.timer.sleep(node.options.heartbeat)
            if node.role is nodes.Role.LEADER:
                await self._tend_once()

    async def _tend_once(self) -> None:
        try:
            for name, peer in list(self._node.peers.items()):
                if peer.reported_folder:
                    await self.record_folder(name, peer.reported_folder)
                elif peer.member.returning and self._is_caught_up(name):
                    await self.promote(name)
            if self._node.options.voters:
                await self._keep_voters()
        except (error.SeamError, StopIteration):
            # Leadership went, or the member did; the next look sees which.
            return

    async def _keep_voters(self) -> None:
        """Take the next step towards the number of voters that is due."""
        node = self._node
        voters = [item.name for item in node.voters]
        spare = self._find_spare()
        leaving = next((name for name in voters if name in self.leaving), "")
        silent = next((name for name in voters if self._is_silent(name)), "")
        if spare and len(voters) < node.options.voters:
            await self.promote(spare)
        elif len(voters) > node.options.voters and (leaving or silent):
            await self.remove(silent or leaving)
        elif spare and silent:
            await self.remove(silent)
        elif spare and leaving:
            await self.promote(spare)
        else:
            await self._forget_learners()

    def _find_spare(self) -> str:
        """Return a learner that answers and holds all that is committed."""
        node = self._node
        for name, peer in node.peers.items():
            is_fit = not peer.member.voter and name not in self.leaving
            answers = peer.silence < node.options.election_min
            if is_fit and answers and self._is_caught_up(name):
                return name
        return ""

    def _is_silent(self, name: str) -> bool:
        peer = self._node.peers.get(name)
        return peer is not None and peer.silence > self._node.options.replace_after

    async def _forget_learners(self) -> None:
        node = self._node
        for name, peer in list(node.peers.items()):
            if peer.member.voter or peer.member.returning:
                continue
            is_gone = peer.silence > node.options.forget_after
            if is_gone or name in self.leaving:
                await self.remove(name)


def _replace(members: nodes.Members, name: str, **fields) -> nodes.Members:
    return tuple(
        member._replace(**fields) if member.name == name else member
        for member in members
    )
