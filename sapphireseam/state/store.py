"""Stores a member's identity, its term and vote, and its snapshot in files.

The identity includes a random id that is drawn when the folder is created. The
id distinguishes a folder that lost its contents from the one that the cluster
recorded for the same member.
"""

import random
from typing import NamedTuple

import msgspec

from sapphireseam.core import error
from sapphireseam.state import disk as disks, frame, log as logs, message

_IDENTITY = "identity"
_VOTE = "vote"
_SNAPSHOT = "snapshot"
_FOLDER_ID_BITS = 128


class Identity(NamedTuple):
    """The folder's id and the id of its cluster, once it belongs to one.

    `genesis` holds the members with which the cluster was bootstrapped. It is
    empty for a member that joined later, which gets the members from the log.
    """

    folder: str
    cluster: str = ""
    genesis: tuple[message.Member, ...] = ()


class Vote(NamedTuple):
    """The current term and the candidate that the member voted for in it."""

    term: int = 0
    candidate: str = ""


class Mark(NamedTuple):
    """The last index that a snapshot covers, with its term and member list."""

    index: int = 0
    term: int = 0
    members: tuple[message.Member, ...] = ()


class Store:
    """Read and replace these files, each of which holds one or two frames."""

    def __init__(self, disk: disks.Disk):
        self._disk = disk

    async def load_identity(self, rng: random.Random) -> Identity:
        """Return the folder's identity; create it if the folder is empty."""
        names = await self._list_files()
        if _IDENTITY in names:
            return await self._read(_IDENTITY, Identity)
        if names:
            raise error.StorageError(
                f"{_IDENTITY}: missing, although {names[0]} exists"
            )
        identity = Identity(f"{rng.getrandbits(_FOLDER_ID_BITS):032x}")
        await self.save_identity(identity)
        return identity

    async def save_identity(self, identity: Identity) -> None:
        """Replace the identity."""
        await self._write(_IDENTITY, identity)

    async def load_vote(self) -> Vote:
        """Return the term and vote; rewrite them in case an earlier sync had failed."""
        names = await self._list_files()
        vote = Vote()
        if _VOTE in names:
            vote = await self._read(_VOTE, Vote)
        elif set(names) != {_IDENTITY}:
            raise error.StorageError(f"{_VOTE}: missing, although {names[0]} exists")
        await self.save_vote(vote)
        return vote

    async def save_vote(self, vote: Vote) -> None:
        """Replace the term and vote."""
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
        header = frame.encode(msgspec.msgpack.encode(mark))
        await self._disk.replace(_SNAPSHOT, header + frame.encode(state))

    async def _list_files(self) -> list[str]:
        """Return the replica's own files, without others in the same folder."""
        names = await self._disk.list()
        fixed_names = (_IDENTITY, _VOTE, _SNAPSHOT)
        return [
            name
            for name in names
            if name in fixed_names or name.startswith(logs.SEGMENT_PREFIX)
        ]

    async def _read(self, name: str, kind: type) -> NamedTuple:
        bodies = frame.decode_exactly(name, await self._disk.read(name), 1)
        return msgspec.msgpack.decode(bodies[0], type=kind)

    async def _write(self, name: str, value: NamedTuple) -> None:
        await self._disk.replace(name, frame.encode(msgspec.msgpack.encode(value)))
