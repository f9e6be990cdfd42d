import asyncio
import contextlib
import functools
import logging
import random
import unittest
from unittest import mock

from sapphireseam.core import error
from sapphireseam.state import cluster, fake, link, membership, message, node, replica
from sapphireseam.utils import timer


def async_test(test):
    """Run a test in `asyncio.run`; IsolatedAsyncioTestCase's debug mode is slow."""

    @functools.wraps(test)
    def run(self):
        asyncio.run(test(self))

    return run


class ReplicaTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, sim):
        self.assertEqual(sim.violations, [])
        final = sim.machines[sim.find_leader()].entries
        for command, index in sim.acknowledged.items():
            self.assertIn((index, command), final)

    async def make_cluster(self, names="abc", **options):
        sim = cluster.Cluster(names, **options)
        await sim.start_all()
        return sim

    async def propose(self, sim, count=1):
        leader = await sim.wait_leader()
        start = len(sim.acknowledged)
        work = [
            sim.propose(leader, b"%d" % number)
            for number in range(start, start + count)
        ]
        await sim.run(asyncio.gather(*work))
        return leader

    def pick_followers(self, sim):
        leader = sim.find_leader()
        return [name for name in sorted(sim.replicas) if name != leader]

    async def check_error(self, sim, work, kind):
        with self.assertRaises(kind) as caught:
            await sim.run(work, 10.0)
        return caught.exception


class LossTest(ReplicaTest):
    @async_test
    async def test_second_vm_lost_right_after_a_repair(self):
        """The two members that fail in turn are those that first had the entries."""
        sim = await self.make_cluster()
        leader = sim.find_leader()
        lagging, lost = self.pick_followers(sim)
        sim.cut(lagging)
        await self.propose(sim, 30)
        sim.cut_links.clear()
        await sim.lose_disk(lost)
        await sim.start(lost)
        limit = sim.timer.read_clock() + 60
        while not sim.is_repaired():
            self.assertLess(sim.timer.read_clock(), limit)
            await sim.advance(0.01)
        await sim.lose_disk(leader)
        await sim.wait_leader()
        await sim.advance(2)
        self.assertEqual(len(sim.acknowledged), 30)
        self.check(sim)
        await self.propose(sim, 3)
        await sim.close()

    @async_test
    async def test_empty_folders_create_no_second_cluster(self):
        """One member never ran, one lost its folder, the third is down."""
        sim = await self.make_cluster()
        leader = sim.find_leader()
        late, lost = self.pick_followers(sim)
        await self.propose(sim, 5)
        for name in (late, lost):
            await sim.lose_disk(name)
        await sim.kill(leader)
        for name in (late, lost):
            await sim.start(name)
        await sim.advance(30)
        self.assertEqual(sim.find_leader(), "")
        self.assertEqual(sim.leaders, {1: leader})
        await sim.close()

    @async_test
    async def test_bootstrap_survives_a_crash_at_any_moment(self):
        for moment in range(25):
            sim = cluster.Cluster("abc", seed=moment)
            for name in "abc":
                await sim.start(name)
            await sim.advance(0.02 * moment)
            victim = "abc"[moment % 3]
            await sim.kill(victim, keeps_page_cache=False)
            await sim.start(victim)
            await sim.wait_leader()
            await self.propose(sim, 2)
            await sim.wait_converged()
            self.check(sim)
            await sim.close()

    @async_test
    async def test_learner_counts_only_after_its_blobs_are_fetched(self):
        """Without the blobs there is neither an acknowledgement nor a promotion."""
        sim = await self.make_cluster()
        await self.propose(sim, 5)
        leader = sim.find_leader()
        away, lost = self.pick_followers(sim)
        await sim.lose_disk(lost)
        sim.blob_fetchers[lost].is_failing = True
        await sim.start(lost)
        await sim.advance(20)
        members = sim.replicas[leader].members
        self.assertEqual([item.name for item in members if not item.voter], [lost])
        await sim.kill(away)
        work = sim.spawn(sim.propose(leader, b"late"))
        await sim.advance(0.5)
        self.assertFalse(work.done())
        sim.blob_fetchers[lost].is_failing = False
        await sim.start(away)
        await sim.wait_leader()
        await sim.wait_converged()
        self.assertTrue(all(item.voter for item in sim.replicas[leader].members))
        self.check(sim)
        await sim.close()


class SyncTest(ReplicaTest):
    @async_test
    async def test_acknowledged_once_a_quorum_has_synced_and_not_before(self):
        """Two blocked disks prevent the acknowledgement.

        One blocked disk does not, even if it is the leader's.
        """
        for blocked in ("a", "b", "c", "ab", "bc", "ac"):
            sim = await self.make_cluster()
            leader = await self.propose(sim, 3)
            released = asyncio.Event()
            for name in blocked:
                sim.disks[name].pause = released.wait
            work = sim.spawn(sim.propose(leader, b"new"))
            await sim.advance(0.8)
            self.assertEqual(work.done(), len(blocked) == 1, blocked)
            released.set()
            await sim.run(work)
            self.check(sim)
            await sim.close()

    @async_test
    async def test_vote_survives_a_power_loss(self):
        sim = cluster.Cluster("abc")
        await sim.start("c")
        folder = sim.folders["c"]
        members = tuple(message.Member(name, folder=name) for name in "ab")
        members = (*members, message.Member("c", folder=folder))
        form_request = message.FormRequest("a", "cluster", members)

        async def request_vote(name, target=folder):
            request = message.VoteRequest(
                "cluster", name, target, 5, 0, 0, pre=False, transfer=False
            )
            return await sim.run(sim.replicas["c"].answer(request))

        # A member votes neither with a fresh folder nor on behalf of another folder.
        self.assertFalse((await request_vote("a")).granted)
        await sim.run(sim.replicas["c"].answer(form_request))
        self.assertFalse((await request_vote("a", "lost")).granted)
        self.assertTrue((await request_vote("a")).granted)
        self.assertFalse((await request_vote("b")).granted)
        await sim.kill("c", keeps_page_cache=False)
        await sim.start("c")
        await sim.advance(1.05)
        self.assertFalse((await request_vote("b")).granted)
        self.assertTrue((await request_vote("a")).granted)
        await sim.close()


class LeaderTest(ReplicaTest):
    @async_test
    async def test_partitioned_leader_answers_nothing(self):
        sim = await self.make_cluster()
        old = await self.propose(sim, 3)
        sim.cut(old)
        proposal = sim.spawn(sim.propose(old, b"in doubt"))
        leader_read = sim.spawn(sim.confirm(old))
        local_read = sim.spawn(sim.confirm(old, is_local=True))
        await sim.advance(1.2)
        self.assertFalse(sim.replicas[old].is_leader)
        for work, kind in (
            (proposal, error.OutcomeError),
            (leader_read, error.NotLeaderError),
            (local_read, error.NotLeaderError),
            (sim.propose(old, b"refused"), error.NotLeaderError),
            (sim.confirm(old), error.NotLeaderError),
        ):
            await self.check_error(sim, work, kind)
        await sim.wait_leader()
        await self.propose(sim, 3)
        sim.cut_links.clear()
        await sim.wait_converged()
        self.check(sim)
        await sim.close()

    @async_test
    async def test_frozen_leader_refuses_calls_after_it_was_replaced(self):
        """The old leader reads its clock before it answers requests that waited."""
        sim = await self.make_cluster()
        old = await self.propose(sim, 3)
        sim.gates[old].freeze()
        await sim.advance(5)
        await self.propose(sim, 3)
        self.assertFalse(sim.replicas[old].is_leader)
        for call in (sim.confirm(old), sim.propose(old, b"refused")):
            await self.check_error(sim, call, error.NotLeaderError)
        sim.gates[old].thaw()
        await sim.wait_converged()
        self.check(sim)
        await sim.close()

    @async_test
    async def test_returning_member_doesnt_depose_the_leader(self):
        sim = await self.make_cluster()
        leader = await self.propose(sim)
        away = self.pick_followers(sim)[0]
        sim.cut(away)
        await sim.advance(20)
        sim.cut_links.clear()
        await sim.advance(5)
        self.assertEqual(sim.find_leader(), leader)
        self.assertEqual(sim.leaders, {1: leader})
        await sim.close()

    @async_test
    async def test_members_that_were_down_for_long_elect_at_once(self):
        """All members are down for longer than any lease, then start one by one."""
        sim = await self.make_cluster()
        sim.passes_predecessor_end = True
        await self.propose(sim, 3)
        for name in "abc":
            await sim.kill(name, keeps_page_cache=False)
        await sim.advance(sim.options.election_min)
        for name in "abc":
            await sim.start(name)
        before = sim.timer.read_clock()
        while not sim.find_leader():
            await sim.advance(0.02)
        took = sim.timer.read_clock() - before
        self.assertLess(took, sim.options.election_min * 0.7)
        await self.propose(sim, 3)
        self.check(sim)
        await sim.close()

    @async_test
    async def test_voter_restart_with_known_end_preserves_the_lease(self):
        await self.check_restarted_voter(True)

    @async_test
    async def test_voter_restart_without_known_end_preserves_the_lease(self):
        await self.check_restarted_voter(False)

    async def check_restarted_voter(self, passes_predecessor_end):
        """A restarted voter must assume that it has just had leader contact."""
        sim = await self.make_cluster()
        sim.passes_predecessor_end = passes_predecessor_end
        leader = await self.propose(sim)
        member, voter = self.pick_followers(sim)
        # The other member has no leader contact; the voter has had it until now.
        sim.cut_links |= {(leader, member), (member, leader)}
        await sim.advance(3)
        await sim.kill(voter)
        await sim.start(voter)
        sim.cut_links |= {(leader, voter), (voter, leader)}
        for _ in range(40):
            await sim.advance(0.05)
            sim.check_leases()
        self.check(sim)
        await sim.close()

    @async_test
    async def test_transfer_needs_no_election_timeout(self):
        sim = await self.make_cluster()
        old = await self.propose(sim, 3)
        before = sim.timer.read_clock()
        await sim.run(sim.replicas[old].transfer_leadership())
        while sim.find_leader() in ("", old):
            await sim.advance(0.01)
            self.assertLess(sim.timer.read_clock() - before, 1.0)
        await self.propose(sim, 3)
        self.check(sim)
        await sim.close()

    @async_test
    async def test_lease_ends_before_the_transfer_target_starts_its_election(self):
        """The target's reply is lost, so the old leader steps down later."""
        sim = await self.make_cluster()
        old = await self.propose(sim, 3)
        await sim.wait_converged()
        for other in self.pick_followers(sim):
            sim.cut_links.add((other, old))
        sim.spawn(sim.replicas[old].transfer_leadership())
        for _ in range(50):
            await sim.advance(0.01)
            sim.check_leases()
        self.assertNotIn(sim.find_leader(), ("", old))
        self.check(sim)
        await sim.close()

    @async_test
    async def test_votes_of_other_folders_elect_nobody(self):
        requests = []

        class GrantingLink:
            async def call(self, request):
                if isinstance(request, message.VoteRequest):
                    requests.append(request)
                    return message.VoteReply("other", request.term, True)
                raise link.LinkError("no answer")

        sim = cluster.Cluster("abc")
        await sim.start("a")
        member = sim.replicas["a"]
        member._node.links = lambda name: GrantingLink()
        members = [message.Member(name, folder=name) for name in "bc"]
        members.append(message.Member("a", folder=sim.folders["a"]))
        form_request = message.FormRequest("b", "cluster", tuple(members))
        await sim.run(member.answer(form_request))
        await sim.advance(10)
        self.assertEqual((member.leader, member.is_leader), ("", False))
        # No pre-vote was won, so no vote was requested.
        self.assertEqual({request.pre for request in requests}, {True})
        await sim.close()

    @async_test
    async def test_members_join_and_leave_including_the_leader(self):
        sim = await self.make_cluster()
        leader = await self.propose(sim, 3)
        member = sim.replicas[leader]
        await sim.start("d")
        await sim.run(member.add_member("d", "address"))
        self.assertFalse(member.members[-1].voter)
        await sim.run(member.promote("d"))
        with self.assertRaises(error.ControlError):
            await sim.run(member.add_member("d", "address"))
        await sim.run(member.remove_member(leader))
        await sim.kill(leader)
        await sim.wait_leader()
        await self.propose(sim, 3)
        names = {item.name for item in sim.replicas["d"].members}
        self.assertEqual(names, {"a", "b", "c", "d"} - {leader})
        await sim.wait_converged()
        self.check(sim)
        await sim.close()


class StopTest(ReplicaTest):
    @async_test
    async def test_stop_fails_every_pending_call(self):
        sim = await self.make_cluster()
        leader = await self.propose(sim)
        follower = self.pick_followers(sim)[0]
        sim.cut(leader)
        work = []
        for name in (leader, follower):
            member = sim.replicas[name]
            reads = [
                member.wait_applied(1000),
                member.read_index(),
                member.read_index(),
            ]
            work += [sim.spawn(call) for call in reads]
            await sim.advance(0)
            work.append(sim.spawn(member.read_index()))
        work.append(sim.spawn(sim.replicas[leader].confirm_leadership()))
        work.append(sim.spawn(sim.replicas[leader].propose(b"in doubt")))
        await sim.advance(0.1)
        for name in (leader, follower):
            await sim.replicas[name].stop()
            await sim.replicas[name].stop()
        for call in work:
            await self.check_error(sim, call, error.SeamError)
        await sim.close()


class DiskTest(ReplicaTest):
    @async_test
    async def test_failed_disk_stops_a_member_permanently(self):
        for fault in ("is_full", "fails_sync"):
            sim = await self.make_cluster()
            old = await self.propose(sim, 3)
            setattr(sim.disks[old], fault, True)
            # The other two members may commit it before this disk fails.
            with contextlib.suppress(error.OutcomeError):
                await sim.run(sim.propose(old, b"in doubt"))
            await sim.advance(0.1)
            setattr(sim.disks[old], fault, False)
            self.assertIsInstance(sim.replicas[old].fatal, error.StorageError)
            work = sim.propose(old, b"refused")
            await self.check_error(sim, work, error.StorageError)
            with self.assertRaises(error.StorageError):
                await sim.replicas[old].answer(message.IdentifyRequest("x"))
            await sim.wait_leader()
            await self.propose(sim, 3)
            await sim.kill(old, keeps_page_cache=False)
            await sim.start(old)
            await sim.wait_converged()
            self.check(sim)
            await sim.close()

    @async_test
    async def test_member_whose_background_work_fails_stops_leading(self):
        for target in ("flush", "_check_timeout", "wait_until"):
            sim = await self.make_cluster()
            first = sim.find_leader()
            member = sim.replicas[first]
            parts = {
                "flush": member._node.log,
                "_check_timeout": member._election,
                "wait_until": member._node.commit_grew,
            }
            setattr(parts[target], target, self.raise_odd_error)
            sim.spawn(sim.propose(first, b"lost"))
            await sim.advance(5)
            self.assertIsNotNone(member.fatal, target)
            await sim.wait_leader()
            self.assertNotEqual(sim.find_leader(), first, target)
            await sim.kill(first)
            await sim.start(first)
            await self.propose(sim, 2)
            await sim.wait_converged()
            self.check(sim)
            await sim.close()

    async def raise_odd_error(self, *_):
        raise RuntimeError("odd")

    @async_test
    async def test_storage_call_after_a_stop_is_no_failure_of_the_member(self):
        sim = await self.make_cluster()
        member = sim.replicas[sim.find_leader()]
        await member.stop()
        with self.assertRaises(error.ControlError):
            await member._node.run_storage(self.raise_odd_error())
        self.assertIsNone(member.fatal)
        await sim.close()

    @async_test
    async def test_state_that_cant_be_encoded_ends_no_later_snapshot(self):
        sim = await self.make_cluster(snapshot_entries=5)
        leader = await self.propose(sim)
        machine, node = sim.machines[leader], sim.replicas[leader]._node
        with mock.patch.object(machine, "encode", side_effect=OverflowError) as encode:
            for _ in range(12):
                await self.propose(sim)
        self.assertIn(encode.call_count, (2, 3))
        self.assertEqual((node.fatal, node.snapshot.index), (None, 0))
        await self.propose(sim, 12)
        await sim.advance(1)
        self.assertGreater(node.snapshot.index, 12)
        self.check(sim)
        await sim.close()

    @async_test
    async def test_snapshot_that_cant_be_restored_stops_the_member(self):
        sim = await self.make_cluster(snapshot_entries=5, trailing_entries=0)
        leader = sim.find_leader()
        behind = next(name for name in sim.replicas if name != leader)
        await sim.kill(behind)
        await self.propose(sim, 12)
        await sim.start(behind)
        with mock.patch.object(sim.machines[behind], "restore", side_effect=KeyError):
            await sim.advance(2)
        self.assertIsInstance(sim.replicas[behind].fatal, error.StorageError)
        await sim.kill(behind)
        await sim.start(behind)
        await sim.wait_converged()
        self.check(sim)
        await sim.close()

    @async_test
    async def test_restart_reads_few_entries_after_a_snapshot(self):
        sim = await self.make_cluster(snapshot_entries=100, trailing_entries=10)
        for _ in range(100):
            leader = await self.propose(sim, 10)
        await sim.advance(1)
        before = sim.machines[leader].entries
        self.assertEqual(len(before), 1000)
        for name in list(sim.replicas):
            await sim.kill(name, keeps_page_cache=False)
        for name in "abc":
            await sim.start(name)
            loaded = sim.replicas[name]._node.log
            self.assertLess(loaded.last_index - loaded.base_index, 2 * 100 + 10)
        await sim.wait_leader()
        await sim.wait_converged()
        self.assertEqual(sim.machines[sim.find_leader()].entries, before)
        self.check(sim)
        await sim.close()

    @async_test
    async def test_restarted_follower_answers_without_a_new_proposal(self):
        sim = await self.make_cluster()
        await self.propose(sim, 3)
        await sim.wait_converged()
        name = self.pick_followers(sim)[0]
        await sim.kill(name)
        await sim.start(name)
        await sim.advance(1)
        await sim.run(sim.confirm(name, is_local=True))
        self.check(sim)
        await sim.close()

    @async_test
    async def test_folder_that_lost_some_of_its_files_is_refused(self):
        """Files that don't belong to the replicated log are ignored."""
        for lost, is_refused in (("identity", True), ("vote", True), ("x", False)):
            sim = await self.make_cluster("a")
            await self.propose(sim, 3)
            await sim.run(sim.disks["a"].append("x", b"beside"))
            await sim.kill("a")
            del sim.disks["a"]._files[lost]
            if is_refused:
                with self.assertRaisesRegex(error.StorageError, f"{lost}: missing"):
                    await sim.start("a")
            else:
                await sim.start("a")
            await sim.close()
        sim = cluster.Cluster("a")
        sim.make("a")
        await sim.run(sim.disks["a"].append("x", b"beside"))
        await sim.start("a")
        await sim.wait_leader()
        await sim.close()

    @async_test
    async def test_entry_that_cant_be_applied_stops_the_member(self):
        sim = await self.make_cluster()
        old = await self.propose(sim, 3)
        with mock.patch.object(sim.machines[old], "apply", side_effect=KeyError):
            work = sim.propose(old, b"in doubt")
            await self.check_error(sim, work, error.OutcomeError)
        self.assertIsInstance(sim.replicas[old].fatal, error.StorageError)
        await sim.kill(old)
        await self.propose(sim, 3)
        await sim.start(old)
        await sim.wait_converged()
        self.check(sim)
        await sim.close()

    def stop_after(self, sim, name, operations):
        """Let a member's disk do this number of operations more, then block."""
        left = iter(range(operations))

        async def pause():
            if next(left, None) is None:
                await asyncio.get_running_loop().create_future()

        sim.disks[name].pause = pause

    @async_test
    async def test_power_lost_at_any_operation_loses_nothing(self):
        """A single member writes entries and snapshots and removes segments."""
        for operations in range(45):
            sim = await self.make_cluster("a", snapshot_entries=4, trailing_entries=0)
            self.stop_after(sim, "a", operations)
            for number in range(12):
                sim.spawn(sim.propose("a", b"%d" % number))
                await sim.advance(0.01)
            await sim.kill("a", keeps_page_cache=False)
            await sim.start("a")
            await sim.wait_leader()
            await sim.run(sim.confirm("a"))
            self.check(sim)
            await sim.close()

    @async_test
    async def test_power_lost_during_a_snapshot_from_the_leader(self):
        """The log keeps the entries that the follower had acknowledged before."""
        for operations in range(12):
            sim = await self.make_cluster(snapshot_entries=5, trailing_entries=0)
            # Too few entries for a snapshot of the follower's own.
            await self.propose(sim, 3)
            await sim.wait_converged()
            victim = self.pick_followers(sim)[0]
            before = sim.replicas[victim].applied
            sim.cut(victim)
            for _ in range(5):
                await self.propose(sim, 4)
            sim.cut_links.clear()
            self.stop_after(sim, victim, operations)
            await sim.advance(2)
            await sim.kill(victim, keeps_page_cache=False)
            await sim.start(victim)
            self.assertGreaterEqual(sim.replicas[victim]._node.log.last_index, before)
            await sim.wait_converged()
            self.check(sim)
            await sim.close()

    @async_test
    async def test_member_that_has_not_read_its_folder_answers_nothing(self):
        sim = cluster.Cluster("a")
        member = sim.make("a")
        sim.disks["a"].pause = asyncio.Event().wait
        sim.spawn(member.start())
        work = member.answer(message.IdentifyRequest("b"))
        await self.check_error(sim, work, error.ControlError)
        await sim.close()

    @async_test
    async def test_damaged_frame_is_reported_at_start(self):
        sim = await self.make_cluster()
        for _ in range(10):
            leader = await self.propose(sim, 3)
        victim = self.pick_followers(sim)[0]
        await sim.kill(victim)
        name = "log-00000001"
        sim.disks[victim].corrupt(name, sim.disks[victim].measure(name) // 2)
        with self.assertRaisesRegex(error.StorageError, rf"{name}.*offset \d+"):
            await sim.start(victim)
        self.assertEqual(sim.find_leader(), leader)
        await sim.close()


class StubPeer:
    """Stub for a peer that has synced up to `match`."""

    def __init__(self, member, match):
        self.member = member
        self.match = match
        self.acked_at = 0.0
        self.acked_round = 0

    def wake(self):
        """Do nothing."""


class CommitTest(ReplicaTest):
    @async_test
    async def test_members_change_once_this_terms_entry_is_committed(self):
        leader = self.make_leader(4)
        changes = membership.Membership(leader)
        work = asyncio.ensure_future(changes.add("d", "address"))
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(leader.log.last_index, 2)
        leader.log.synced = leader.peers["b"].match = 2
        leader.advance_commit()
        leader.changed.notify()
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertEqual(leader.members[-1].name, "d")
        # The next change waits for this one.
        after = asyncio.ensure_future(changes.remove("b"))
        await asyncio.sleep(0)
        self.assertEqual(leader.log.last_index, 3)
        work.cancel()
        after.cancel()

    @async_test
    async def test_older_terms_entries_wait_for_one_of_this_term(self):
        """Figure 8 of the Raft paper: a majority alone doesn't commit an old entry."""
        leader = self.make_leader(4)
        leader.log.synced = 2
        leader.advance_commit()
        self.assertEqual(leader.commit, 0)
        leader.peers["b"].match = 2
        leader.advance_commit()
        self.assertEqual(leader.commit, 2)

    def make_leader(self, term):
        """Return a node that has just become leader and holds an older entry."""
        members = tuple(message.Member(name, folder=name) for name in "abc")
        leader = node.Node(
            "a",
            {},
            fake.FakeDisk(),
            timer.FakeTimer(),
            None,
            None,
            replica.Options(),
            random.Random(0),
        )
        leader.is_loaded = True
        leader.load_members(0, members)
        leader.adopt_term(term - 2)
        leader.log.append(message.Entry(1, leader.term, message.COMMAND))
        leader.adopt_term(term)
        leader.become_leader()
        leader.peers = {item.name: StubPeer(item, 1) for item in members[1:]}
        return leader
