"""Keep a member's small files: identity, term and vote, snapshot.

The identity is a random id made with the folder. It tells a folder that lost
its contents from the one that the cluster knew under the same name.
"""

import random
from typing import NamedTuple

import msgspec

from sapphireseam.core import error
from sapphireseam.state import disk as disks, frame, log as logs, message

_IDENTITY = "identity"
_VOTE = "vote"
_SNAPSHOT = "snapshot"
_FOLDER_BITS = 128


class Identity(NamedTuple):
    """Name the folder and, once it belongs to one, the cluster.

    `genesis` holds the first members as the cluster was formed; a member that
    joined later has none and learns the members from the log.
    """

    folder: str
    cluster: str = ""
    genesis: tuple[message.Member, ...] = ()


class Vote(NamedTuple):
    """Hold the current term and whom this member voted for in it."""

    term: int = 0
    candidate: str = ""


class Mark(NamedTuple):
    """Say which entry a snapshot ends with and who the members were."""

    index: int = 0
    term: int = 0
    members: tuple[message.Member, ...] = ()


class Store:
    """Read and replace the small files, each one checksummed frame or two."""

    def __init__(self, disk: disks.Disk):
        self._disk = disk

    async def load_identity(self, rng: random.Random) -> Identity:
        """Return the folder's identity, making one in an empty folder."""
        names = await self._list_own()
        if _IDENTITY in names:
            return await self._read_one(_IDENTITY, Identity)
        if names:
            raise error.StorageError(f"{_IDENTITY}: missing beside {names[0]}")
        identity = Identity(f"{rng.getrandbits(_FOLDER_BITS):032x}")
        await self.save_identity(identity)
        return identity

    async def save_identity(self, identity: Identity) -> None:
        """Replace the identity."""
        await self._write(_IDENTITY, identity)

    async def load_vote(self) -> Vote:
        """Return term and vote, written again in case their sync had failed."""
        names = await self._list_own()
        vote = Vote()
        if _VOTE in names:
            vote = await self._read_one(_VOTE, Vote)
        elif set(names) != {_IDENTITY}:
            raise error.StorageError(f"{_VOTE}: missing beside {names[0]}")
        await self.save_vote(vote)
        return vote

    async def save_vote(self, vote: Vote) -> None:
        """Replace term and vote."""
        await self._write(_VOTE, vote)

    async def load_snapshot(self) -> tuple[Mark, bytes | None]:
        """Return the snapshot's mark and data, or an empty mark and None."""
        if _SNAPSHOT not in await self._disk.list():
            return Mark(), None
        data = await self._disk.read(_SNAPSHOT)
        mark, state = frame.decode_exactly(_SNAPSHOT, data, 2)
        return msgspec.msgpack.decode(mark, type=Mark), state

    async def save_snapshot(self, mark: Mark, state: bytes) -> None:
        """Replace the snapshot."""
        head = frame.encode(msgspec.msgpack.encode(mark))
        await self._disk.replace(_SNAPSHOT, head + frame.encode(state))

    async def _list_own(self) -> list[str]:
        """Return this log's files; others may lie beside them."""
        names = await self._disk.list()
        small = (_IDENTITY, _VOTE, _SNAPSHOT)
        return [
            name
            for name in names
            if name in small or name.startswith(logs.SEGMENT_PREFIX)
        ]

    async def _read_one(self, name: str, kind: type) -> NamedTuple:
        bodies = frame.decode_exactly(name, await self._disk.read(name), 1)
        return msgspec.msgpack.decode(bodies[0], type=kind)

    async def _write(self, name: str, value: NamedTuple) -> None:
        await self._disk.replace(name, frame.encode(msgspec.msgpack.encode(value)))
