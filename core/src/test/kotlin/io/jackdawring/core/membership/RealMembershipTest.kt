package io.jackdawring.core.membership

import io.jackdawring.core.Owner
import io.jackdawring.core.entryOptions
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RealMembershipTest {
    private val a = owner("e1")
    private val b = owner("e2")
    private val restarted = b.copy(incarnation = b.incarnation + 1, peerAddress = "10.0.0.2:7200")

    private fun membership(self: Owner = a) = RealMembership(entryOptions(self) { suspectAfterMillis = 3_000 }) {}

    private fun RealMembership.receive(
        vararg facts: MemberFact,
        atMillis: Long = 0,
    ) = merge(facts[0].owner, facts.toList(), atMillis)

    private fun RealMembership.stateOf(id: String) = status().firstOrNull { it.owner.instanceId.value == id }?.state

    private fun fact(
        owner: Owner,
        heartbeat: Long = 1,
        by: Owner? = null,
        ageMillis: Long = 0,
    ) = MemberFact(owner, heartbeat, 1, by != null, by?.instanceId, by?.incarnation, ageMillis)

    /** Guards against a state that depends on the order or number of deliveries of the same facts. */
    @Property(seed = "11", tries = 300)
    fun `any delivery order of the same facts gives the same members`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val c = owner("e3")
        val all =
            listOf(fact(b, 1), fact(b, 5).copy(configurationVersion = 9), fact(b, 7, by = c), fact(restarted, 1)) +
                listOf(fact(c, 2), fact(c, 3).copy(draining = true))
        val inOrder = membership()
        val shuffled = membership()
        all.forEach { inOrder.receive(it) }
        val deliveries = List(random.nextInt(12)) { all.random(random) } + all
        deliveries.shuffled(random).forEach { shuffled.receive(it) }
        assertEquals(inOrder.status(), shuffled.status())
        assertEquals(inOrder.successorOf(b), shuffled.successorOf(b))
    }

    /** Guards against finding no peer when started without the platform, and against endless digests to seeds. */
    @Test
    fun `seeds get digests only while no peer is known`() {
        val seeds = listOf(a.peerAddress, "10.0.0.9:7100")
        val membership = RealMembership(entryOptions(a) { peerSeeds = seeds }) {}
        assertEquals(listOf("10.0.0.9:7100"), membership.takeGossipPeers(0))
        membership.applyList(instanceList(1, listOf(b)), 500)
        assertEquals(listOf(b.peerAddress), membership.takeGossipPeers(1_000))
        membership.applyList(instanceList(2, emptyList()), 1_500)
        assertEquals(listOf("10.0.0.9:7100"), membership.takeGossipPeers(2_000))
        membership.receive(fact(b), atMillis = 2_500)
        assertEquals(listOf(b.peerAddress), membership.takeGossipPeers(3_000))
    }

    /** Guards against late suspicion, too early drops, and suspicions that are never cleared. */
    @Test
    fun `silence and failed sends move a member between its states`() {
        class Case(
            val name: String,
            val expected: String?,
            val steps: RealMembership.() -> Unit,
        )
        val cases =
            listOf(
                Case("heartbeat 2.9 s ago", "live") { onTimer(2_900) },
                Case("silent for 3 s", "suspect") { onTimer(3_000) },
                Case("silent for 30 s", null) { onTimer(30_000) },
                Case("same heartbeat again does not count", "suspect") {
                    receive(fact(b, 1), atMillis = 2_000)
                    onTimer(3_000)
                },
                Case("newer heartbeat after silence", "live") {
                    onTimer(3_000)
                    mergeHeartbeats(listOf(Heartbeat(Heartbeat.token(b), 2)), 3_100)
                },
                Case("heartbeat of another incarnation does not count", "suspect") {
                    onTimer(3_000)
                    mergeHeartbeats(listOf(Heartbeat(Heartbeat.token(restarted), 2)), 3_100)
                },
                Case("failed send", "suspect") { sendFailed(b.peerAddress, 10) },
                Case("acknowledgement after a failed send", "live") {
                    sendFailed(b.peerAddress, 10)
                    sendAcknowledged(b.peerAddress, 20)
                },
                Case("newer heartbeat after a failed send", "live") {
                    sendFailed(b.peerAddress, 10)
                    receive(fact(b, 2), atMillis = 20)
                },
                Case("late gossip does not add a dropped member again", null) {
                    onTimer(30_000)
                    receive(fact(b, 1), atMillis = 30_100)
                },
                Case("a newer heartbeat adds a dropped member again", "live") {
                    onTimer(30_000)
                    receive(fact(b, 2), atMillis = 30_100)
                },
                Case("this process was paused", "live") {
                    onTimer(1_000)
                    onTimer(41_000)
                },
                Case("silent after a pause of this process", "suspect") {
                    onTimer(1_000)
                    onTimer(41_000)
                    (41_250L..42_750L step 250).forEach { onTimer(it) }
                },
                Case("restart", "live") {
                    onTimer(3_000)
                    receive(fact(restarted), atMillis = 3_100)
                },
                Case("a fact about the former incarnation does not count", "live") {
                    receive(fact(restarted), atMillis = 100)
                    receive(fact(b, 99, by = a), atMillis = 200)
                },
            )
        for (case in cases) {
            val membership = membership().apply { receive(fact(b)) }
            case.steps(membership)
            assertEquals(case.expected, membership.stateOf("e2"), case.name)
            val live = case.expected == "live"
            assertEquals(if (live) 2 else 1, membership.liveCount, "${case.name}: live count")
            assertEquals(live, listOf(b, restarted).any { membership.isReachable(it) }, "${case.name}: reachable")
        }
    }

    /** Guards against resubmissions that miss the handed-over records, loop, or reach an incarnation without them. */
    @Test
    fun `successors are followed to the live holder`() {
        val (c, d) = listOf(owner("e3"), owner("e4"))
        val newC = c.copy(incarnation = c.incarnation + 5)

        class Case(
            val name: String,
            val expected: Owner?,
            val facts: List<MemberFact>,
        )
        val cases =
            listOf(
                Case("one successor", c, listOf(fact(b, by = c), fact(c))),
                Case("a chain", d, listOf(fact(b, by = c), fact(c, by = d), fact(d))),
                Case("a chain ending here", a, listOf(fact(b, by = c), fact(c, by = a))),
                Case("a loop", null, listOf(fact(b, by = c), fact(c, by = b))),
                Case("holder restarted without handing over", null, listOf(fact(b, by = c), fact(newC))),
                Case(
                    "holder handed over and restarted",
                    d,
                    listOf(fact(b, by = c), fact(newC), fact(c, by = d), fact(d)),
                ),
                Case("owner restarted", c, listOf(fact(restarted), fact(b, by = c), fact(c))),
                Case("holder unknown", null, listOf(fact(b, by = c))),
                Case("fact is older than any session", null, listOf(fact(b, by = c, ageMillis = 599_000), fact(c))),
                Case("owner has no successor", null, listOf(fact(b), fact(c))),
            )
        for (case in cases) {
            val membership = membership()
            case.facts.forEach { membership.receive(it) }
            assertEquals(case.expected, membership.successorOf(b), case.name)
        }
        val kept = membership().apply { receive(fact(b, by = c)) }
        for ((atMillis, expected) in listOf(599_000L to c, 600_000L to null)) {
            kept.onTimer(atMillis - 1_000)
            kept.receive(fact(c, atMillis), atMillis = atMillis)
            kept.onTimer(atMillis)
            assertEquals(expected, kept.successorOf(b), "at $atMillis ms")
        }
    }

    /** Guards against shares that add up to less than the whole because a listed but dead instance is counted. */
    @Test
    fun `listed instances get digests but are not live until heard from`() {
        val membership = membership(b)
        membership.applyList(instanceList(2, listOf(a, b)), 0)
        membership.applyList(instanceList(1, emptyList()), 0)
        assertEquals(1 to 0, membership.liveCount to membership.rank)
        assertEquals(listOf(a.peerAddress), membership.takeGossipPeers(0))
        assertTrue(membership.isKnownAddress(a.peerAddress) && membership.isReachable(a))
        assertEquals(emptyList(), membership.takeGossipPeers(999), "not due yet")
        membership.sendFailed(a.peerAddress, 999)
        assertFalse(membership.isReachable(a))
        membership.receive(fact(a), atMillis = 1_000)
        assertEquals(2 to 1, membership.liveCount to membership.rank)
        assertTrue(membership.isReachable(a))
        assertFalse(membership.isKnownAddress("10.9.9.9:1"))
    }

    /** Guards against hand-overs to another failure domain without need, or to an instance that is draining as well. */
    @Test
    fun `successor candidates are live, own failure domain first, and stable`() {
        val membership = membership()
        val others = (2..9).map { owner("e$it", domain = if (it % 2 == 0) "a" else "b") }
        others.forEach { membership.receive(fact(it)) }
        membership.receive(fact(others[0], 2).copy(draining = true))
        membership.sendFailed(others[2].peerAddress, 1)
        val candidates = membership.successorCandidates()
        assertEquals((others - others[0] - others[2]).toSet(), candidates.toSet())
        assertEquals(listOf("a", "a", "b", "b", "b", "b"), candidates.map { it.failureDomain.value })
        membership.sendFailed(candidates[0].peerAddress, 2)
        assertEquals(candidates.drop(1), membership.successorCandidates(), "a failure keeps the order of the others")
    }

    /** Guards against a group that stays split after a network partition has healed. */
    @Test
    fun `members rediscover each other after a partition, and a successor is known everywhere`() {
        val owners = (1..9).map { owner("e$it", domain = "zone-${it % 3}") }
        val group = GossipGroup(owners)
        val nodes = owners.map { group.nodes.getValue(it.peerAddress) }
        nodes.forEach { it.applyList(instanceList(1, owners), 0) }
        group.runUntil(10_000)
        assertEquals(List(9) { 9 to it }, nodes.map { it.liveCount to it.rank }, "before the partition")
        group.isPartitioned =
            { from, to ->
                (from in owners.take(3).map { it.peerAddress }) !=
                    (to in owners.take(3).map { it.peerAddress })
            }
        group.runUntil(100_000)
        assertEquals(List(3) { 3 } + List(6) { 6 }, nodes.map { it.liveCount }, "during the partition")
        group.isPartitioned = { _, _ -> false }
        group.runUntil(120_000)
        assertEquals(List(9) { 9 }, nodes.map { it.liveCount }, "after the partition")
        nodes[8].drain(null)
        val successor = nodes[8].successorCandidates().first()
        nodes[8].drain(successor.instanceId)
        group.runUntil(125_000)
        group.nodes.remove(owners[8].peerAddress)
        group.runUntil(300_000)
        for (node in nodes.take(8)) {
            assertEquals(successor, node.successorOf(owners[8]))
            assertFalse(node.isReachable(owners[8]))
        }
        group.runUntil(800_000)
        assertNull(nodes[0].successorOf(owners[8]), "facts do not outlive the sessions")
        assertEquals(List(8) { 8 }, nodes.take(8).map { it.liveCount })
    }
}
