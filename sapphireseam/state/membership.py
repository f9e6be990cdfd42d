"""Changes the cluster's members through the log, one change at a time.

Each change adds or removes at most one voter, so that any quorum before it and
any quorum after it share a member. A change waits until the previous one is
committed and the leader has committed an entry of its own term. If a voter
returns with a new data folder, the leader records it as a learner with that
folder, and promotes it once it has caught up.

With `Options.voters` above 0 the leader maintains that number of voters, one
step at a time. A voter that is leaving is removed after a learner that has
caught up was promoted to replace it. A silent voter is removed before the
promotion, so that a quorum is never counted over more voters than can answer.
"""

import asyncio
from collections.abc import Callable

from sapphireseam.core import error
from sapphireseam.state import message, node as nodes, peer as peers, roster

Edit = Callable[[nodes.Members], nodes.Members]


def _make_conflict(text: str) -> error.ControlError:
    return error.ControlError(text, error.Kind.CONFLICT)


class Membership:
    """Change the members, and maintain a `Peer` for each of them on the leader."""

    def __init__(self, node: nodes.Node):
        self._node = node
        self._lock = asyncio.Lock()
        # Members to remove permanently, set through `Replica.set_leaving`.
        self.leaving: frozenset[str] = frozenset()

    def refresh_peers(self) -> None:
        """On the leader, match the peers to the newest member list."""
        node = self._node
        if node.role is not nodes.Role.LEADER:
            return
        before, node.peers = node.peers, {}
        for member in node.members:
            if member.name != node.name:
                self._update_peer(member, before.get(member.name))
        for peer in before.values():
            peer.wake()

    def _update_peer(self, member: message.Member, current: peers.Peer | None) -> None:
        node = self._node
        if current is not None and current.member.folder == member.folder:
            current.member = member
            node.peers[member.name] = current
            return
        peer = peers.Peer(node, member)
        node.peers[member.name] = peer
        peer.start()

    async def change(self, edit: Edit) -> None:
        """Append the edited member list and wait until it is committed."""
        node = self._node
        async with self._lock:
            await node.changed.wait_until(self._is_change_allowed)
            members = edit(node.members)
            if members != node.members:
                data = roster.encode(members)
                await node.append(message.MEMBERS, data)

    def _is_change_allowed(self) -> bool:
        node = self._node
        node.check_leading()
        return node.commit >= max(node.term_start, node.roster.index)

    async def add(self, name: str, address: str) -> None:
        """Add a learner; its folder is recorded after its first reply."""

        def edit(members: nodes.Members) -> nodes.Members:
            if any(member.name == name for member in members):
                raise _make_conflict(f"{name} is already a member")
            return (*members, message.Member(name, address, voter=False))

        await self.change(edit)

    async def remove(self, name: str) -> None:
        """Remove a member; a removed leader steps down after the commit."""

        def edit(members: nodes.Members) -> nodes.Members:
            rest = tuple(member for member in members if member.name != name)
            if not any(member.voter for member in rest):
                raise _make_conflict(f"{name} is the last voter and can't be removed")
            return rest

        await self.change(edit)

    async def promote(self, name: str) -> None:
        """Make a learner a voter, once it has all committed entries."""
        node = self._node

        def is_ready() -> bool:
            node.check_leading()
            if node.find_member(name) is None:
                raise _make_conflict(f"{name} isn't a member")
            return self._is_caught_up(name)

        def edit(members: nodes.Members) -> nodes.Members:
            # The folder may have been replaced while this change waited.
            if not self._is_caught_up(name):
                raise _make_conflict(f"{name} is no longer caught up with the log")
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
        """Record a member's new folder and make the member a learner."""

        def edit(members: nodes.Members) -> nodes.Members:
            member = next((item for item in members if item.name == name), None)
            # It may have been removed while this change waited.
            if member is None or member.folder == folder:
                return members
            is_returning = member.voter or member.returning
            return _replace(
                members, name, voter=False, folder=folder, returning=is_returning
            )

        await self.change(edit)

    async def run(self) -> None:
        """Maintain the members periodically while this member is leader."""
        node = self._node
        while True:
            await node.timer.sleep(node.options.heartbeat)
            if node.role is nodes.Role.LEADER:
                await self._maintain_members()

    async def _maintain_members(self) -> None:
        try:
            for name, peer in list(self._node.peers.items()):
                if peer.reported_folder:
                    await self.record_folder(name, peer.reported_folder)
                elif peer.member.returning and self._is_caught_up(name):
                    await self.promote(name)
            if self._node.options.voters:
                await self._maintain_voters()
        except error.SeamError:
            # Leadership was lost or the member was removed; the next run checks again.
            return

    async def _maintain_voters(self) -> None:
        """Take the next step towards the configured number of voters."""
        node = self._node
        voters = [item.name for item in node.voters]
        replacement = self._find_replacement()
        leaving = next((name for name in voters if name in self.leaving), "")
        silent = next((name for name in voters if self._is_silent(name)), "")
        if replacement and len(voters) < node.options.voters:
            await self.promote(replacement)
        elif len(voters) > node.options.voters and (leaving or silent):
            await self.remove(silent or leaving)
        elif replacement and silent:
            await self.remove(silent)
        elif replacement and leaving:
            await self.promote(replacement)
        else:
            await self._remove_learners()

    def _find_replacement(self) -> str:
        """Return a responding, caught-up learner's name, or an empty string."""
        node = self._node
        for name, peer in node.peers.items():
            is_eligible = not peer.member.voter and name not in self.leaving
            is_responding = peer.silence < node.options.election_min
            if is_eligible and is_responding and self._is_caught_up(name):
                return name
        return ""

    def _is_silent(self, name: str) -> bool:
        peer = self._node.peers.get(name)
        return peer is not None and peer.silence > self._node.options.replace_after

    async def _remove_learners(self) -> None:
        node = self._node
        for name, peer in list(node.peers.items()):
            if peer.member.voter or peer.member.returning:
                continue
            is_expired = peer.silence > node.options.forget_after
            if is_expired or name in self.leaving:
                await self.remove(name)


def _replace(members: nodes.Members, name: str, **fields) -> nodes.Members:
    return tuple(
        member._replace(**fields) if member.name == name else member
        for member in members
    )
