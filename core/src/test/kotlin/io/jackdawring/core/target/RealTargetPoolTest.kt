package io.jackdawring.core.target

import io.jackdawring.core.InstanceList
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState
import io.jackdawring.core.NotStartedReason
import io.jackdawring.core.Payload
import io.jackdawring.core.StateChange
import io.jackdawring.core.TargetAnswer
import io.jackdawring.core.TargetId
import io.jackdawring.core.TargetUsage
import io.jackdawring.core.entryOptions
import io.jackdawring.core.membership.TargetFact
import io.jackdawring.core.membership.TargetFactState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class RealTargetPoolTest {
    private val changes = mutableListOf<StateChange>()
    private val requirements = TaskRequirements("orders", 0, 0, 100, 1, idempotent = true)
    private val nonIdempotent = requirements.copy(idempotent = false)
    private val failed = TargetAnswer.TaskFailed("no")
    private val succeeded = succeeded(null)

    private fun succeeded(slotsInUse: Int?) = TargetAnswer.Succeeded(Payload.of("1"), TargetUsage(slotsInUse, false))

    private fun notStarted(reason: NotStartedReason) = TargetAnswer.NotStarted(reason)

    private fun pool(
        vararg ids: String,
        entryInstances: Int = 1,
        seed: Long = 1,
    ): TargetPool {
        val pool = RealTargetPool.Factory.create(entryOptions(ownerIn("a")) { this.seed = seed }, changes::add)
        pool.setEntryInstances(entryInstances)
        pool.list(1, *ids.map { listedTarget(it) }.toTypedArray())
        return pool
    }

    private fun TargetPool.list(
        version: Long,
        vararg instances: ListedInstance,
        nowMillis: Long = 0,
    ) = applyList(InstanceList(version, instances.toList()), nowMillis)

    private fun TargetPool.chooseId(
        nowMillis: Long = 0,
        requirements: TaskRequirements = this@RealTargetPoolTest.requirements,
    ): String? = choose(requirements, nowMillis)?.targetId?.value

    private fun TargetPool.end(
        id: String,
        answer: TargetAnswer?,
        nowMillis: Long = 0,
        elapsedMillis: Long = 100,
    ) = complete(TargetId(id), requirements, answer, elapsedMillis, nowMillis)

    private fun TargetPool.isUsed(
        id: String,
        nowMillis: Long,
    ): Boolean {
        val chosen = generateSequence { chooseId(nowMillis) }.take(100).toList()
        chosen.forEach { end(it, null, nowMillis) }
        return id in chosen
    }

    private fun TargetPool.fail(
        id: String,
        times: Int = 3,
        nowMillis: Long = 0,
    ) = repeat(times) {
        while (chooseId(nowMillis) != id) Unit
        end(id, failed, nowMillis)
    }

    private fun TargetPool.state(id: String) = status().single { it.targetId.value == id }.state

    private fun fact(
        state: TargetFactState,
        listVersion: Long,
        sequence: Long,
        id: String = "t1",
    ) = TargetFact(TargetId(id), "10.0.0.1:$id", listVersion, sequence, state)

    /** Guards against tasks on targets that are too small for them, and against refusals of tasks that can run. */
    @Test
    fun `availability depends on requirements and states`() {
        val pool = pool("t1", "t2")
        pool.list(
            2,
            listedTarget("t1"),
            listedTarget("t2").copy(memoryMb = 100_000),
            listedTarget("x", services = listOf("seats")),
        )
        val large = requirements.copy(memoryMb = 70_000)
        assertEquals(Availability.POSSIBLE, pool.availability(large))
        assertEquals(Availability.NEVER, pool.availability(requirements.copy(memoryMb = 200_000)))
        assertEquals(Availability.NEVER, pool.availability(requirements.copy(accelerators = 1)))
        assertEquals(Availability.NO_TARGETS, pool.availability(requirements.copy(service = "billing")))
        repeat(8) { assertEquals("t2", pool.chooseId(requirements = large)) }
        pool.list(3, listedTarget("t1").copy(state = ListedState.LEAVING))
        assertEquals(Availability.NO_TARGETS, pool.availability(requirements))
        assertNull(pool.chooseId())
    }

    /** Guards against more starts per target than its slots or this instance's share of its connections. */
    @Test
    fun `windows stay within slots and connections`() {
        for ((instances, expected) in listOf(1 to 8, 2 to 6, 8 to 1, 100 to 1)) {
            val pool = pool("t1", entryInstances = instances)
            repeat(200) { step ->
                while (pool.chooseId(step * 100L) != null) Unit
                assertTrue(pool.status().single().inFlight <= minOf(8, maxOf(1, 60 / instances)))
                pool.end("t1", succeeded(pool.status().single().inFlight - 1), step * 100L)
            }
            assertTrue(pool.status().single().inFlight >= expected - 1, "$instances instances")
        }
    }

    /** Guards against shares that add up to more or fewer slots than exist, which causes refusals or idle slots. */
    @Test
    fun `the shares of all instances add up to the slots`() {
        val ids = List(20) { "t$it" }.toTypedArray()
        for (instances in listOf(1, 3, 8, 9, 24)) {
            val shares =
                (0 until instances).map { rank ->
                    pool(*ids)
                        .also { it.setEntryInstances(instances, rank) }
                        .status()
                        .associate { it.targetId to it.window }
                }
            for (id in ids) assertEquals(8, shares.sumOf { it.getValue(TargetId(id)) }, "$instances instances, $id")
        }
    }

    /** Guards against idle slots that a burst at one instance cannot use, and against starts in slots others use. */
    @Test
    fun `usage reports open and close the window`() {
        val pool = pool("t1", entryInstances = 8)
        assertEquals("t1", pool.chooseId())
        assertNull(pool.chooseId(), "only the fair share is known to be free")
        pool.end("t1", succeeded(0))
        repeat(6) { assertEquals("t1", pool.chooseId(), "start $it") }
        assertNull(pool.chooseId(), "two slots stay free for the other instances")
        pool.end("t1", succeeded(7))
        assertNull(pool.chooseId(), "others took the free slots")
    }

    /** Guards against repeated refusals from a full target. */
    @Test
    fun `a busy refusal closes the window for a while`() {
        val pool = pool("t1", entryInstances = 8)
        assertEquals("t1", pool.chooseId(0))
        pool.end("t1", notStarted(NotStartedReason.BUSY), 1)
        assertNull(pool.chooseId(1))
        val retryMillis =
            generateSequence(2L) { it + 1 }.first { now ->
                pool.onTimer(now)
                pool.chooseId(now) != null
            }
        assertTrue(retryMillis in 100..1_000, "$retryMillis")
    }

    /** Guards against a failing target that keeps getting tasks, and against one that is never probed again. */
    @Test
    fun `a failing target is isolated until a probe succeeds`() {
        val pool = pool("t1", "t2", "t3")
        pool.fail("t1", times = 2)
        while (pool.chooseId() != "t1") Unit
        pool.end("t1", succeeded)
        pool.fail("t1", times = 2)
        assertEquals("usable", pool.state("t1"), "a success in between resets the count")
        pool.fail("t1", times = 1)
        assertEquals("isolated", pool.state("t1"))
        assertEquals(listOf(TargetFactState.ISOLATED), pool.takeFacts().map { it.state })
        var nowMillis = 0L
        for (backOffMillis in listOf(1_000L, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000)) {
            val latestMillis = nowMillis + backOffMillis * 6 / 5 + 1
            assertTrue(assertNotNull(pool.nextTimerMillis()) <= latestMillis)
            pool.onTimer(nowMillis + backOffMillis - 1)
            assertFalse(pool.isUsed("t1", nowMillis + backOffMillis - 1), "no probe before $backOffMillis ms")
            nowMillis = latestMillis
            pool.onTimer(nowMillis)
            assertEquals("t1", pool.chooseId(nowMillis), "probe after $backOffMillis ms")
            assertFalse(pool.isUsed("t1", nowMillis), "one probe at a time")
            pool.end("t1", failed, nowMillis)
        }
        nowMillis += 40_000
        pool.onTimer(nowMillis)
        assertEquals("t1", pool.chooseId(nowMillis))
        pool.end("t1", succeeded, nowMillis)
        assertEquals("usable", pool.state("t1"))
        assertEquals(TargetFactState.RECOVERED, pool.takeFacts().single().state)
        assertTrue(pool.isUsed("t1", nowMillis))
    }

    /** Guards against a non-idempotent task that probes a failing target while an idempotent one could do so. */
    @Test
    fun `a non-idempotent task is a probe only after a further interval`() {
        val pool = pool("t1", "t2")
        pool.fail("t1")
        pool.onTimer(1_300)
        assertEquals("t2", pool.chooseId(1_300, nonIdempotent))
        assertEquals("t1", pool.chooseId(1_300, requirements))
        pool.end("t1", null, 1_300)
        assertEquals("t1", pool.chooseId(2_500, nonIdempotent))
    }

    /** Guards against jobs of the highest class that fail as probes, and against probes that are never sent. */
    @Test
    fun `a task of the highest class is a probe only after a further interval`() {
        val pool = pool("t1", "t2")
        val lower = requirements.copy(priority = 2)
        pool.fail("t1")
        pool.onTimer(1_300)
        pool.complete(TargetId(pool.chooseId(1_300)!!), requirements, null, 1, 1_300)
        assertEquals("t1", pool.chooseId(1_300, lower))
        pool.end("t1", failed, 1_300)
        pool.onTimer(3_800)
        assertEquals("t2", pool.chooseId(3_800))
        assertEquals("t1", pool.chooseId(3_800, lower))
        pool.end("t1", null, 3_800)
        assertEquals("t1", pool.chooseId(6_000))
    }

    /** Guards against a failing kind of task that isolates all targets. */
    @Test
    fun `at most half of the targets are isolated`() {
        val pool = pool(*Array(10) { "t$it" })
        repeat(500) { pool.chooseId()?.let { id -> pool.end(id, failed) } }
        assertEquals(5, pool.status().count { it.state == "isolated" })
        assertEquals(Availability.POSSIBLE, pool.availability(requirements))
    }

    /** Guards against frequent retries to an unreachable address. */
    @Test
    fun `an unreachable target is retried with exponential backoff`() {
        val pool = pool("t1")
        var nowMillis = 0L
        for (backOffMillis in listOf(100L, 200, 400, 800)) {
            assertEquals("t1", pool.chooseId(nowMillis, nonIdempotent))
            pool.end("t1", notStarted(NotStartedReason.UNREACHABLE), nowMillis)
            pool.onTimer(nowMillis + backOffMillis - 1)
            assertNull(pool.chooseId(nowMillis + backOffMillis - 1))
            assertEquals(Availability.NO_TARGETS, pool.availability(requirements))
            nowMillis += backOffMillis * 6 / 5 + 1
            pool.onTimer(nowMillis)
            assertEquals(Availability.POSSIBLE, pool.availability(requirements), "a probe needs an admitted job")
        }
    }

    /** Guards against non-idempotent probes of a target that is reachable again but fails every task. */
    @Test
    fun `failures after a refused connection isolate the target`() {
        val pool = pool("t1", "t2")
        while (pool.chooseId() != "t1") Unit
        pool.end("t1", notStarted(NotStartedReason.UNREACHABLE))
        pool.onTimer(200)
        assertEquals("t1", pool.chooseId(200))
        pool.end("t1", failed, 200)
        assertEquals("usable", pool.state("t1"))
        pool.fail("t1", times = 2, nowMillis = 200)
        assertEquals("isolated", pool.state("t1"))
    }

    /** Guards against starts on a leaving target, whatever the source, and against its return through a stale list. */
    @Test
    fun `a leaving target stays unused until the list shows a new registration`() {
        val sources =
            mapOf<String, (TargetPool) -> Unit>(
                "answer" to { it.end(it.chooseId()!!, TargetAnswer.Succeeded(Payload.of("1"), TargetUsage(0, true))) },
                "refusal" to { it.end(it.chooseId()!!, notStarted(NotStartedReason.LEAVING)) },
                "peer" to { it.applyFact(fact(TargetFactState.LEAVING, 1, 1), 0) },
                "list" to { it.list(2, listedTarget("t1").copy(state = ListedState.LEAVING)) },
            )
        val returns =
            mapOf(
                "leaving, then live" to
                    listOf(
                        listedTarget("t1").copy(state = ListedState.LEAVING),
                        listedTarget("t1"),
                    ),
                "absent, then live" to listOf(null, listedTarget("t1")),
                "other address" to listOf(listedTarget("t1").copy(address = "10.0.0.2:1")),
            )
        for ((source, leave) in sources) {
            for ((name, lists) in returns) {
                val pool = pool("t1")
                leave(pool)
                assertNull(pool.chooseId(), source)
                if (source != "list") {
                    pool.list(3, listedTarget("t1"), listedTarget("t2"))
                    assertFalse(pool.isUsed("t1", 5_000), "$source: the list is stale")
                }
                lists.forEachIndexed { index, instance ->
                    pool.list(4L + index, *listOfNotNull(instance).toTypedArray(), nowMillis = 6_000)
                }
                assertTrue(pool.isUsed("t1", 6_000), "$source, $name")
                assertFalse(pool.applyFact(fact(TargetFactState.LEAVING, 3, 9), 6_000), "an old fact")
                assertTrue(pool.isUsed("t1", 6_000), "$source, $name")
            }
        }
    }

    /** Guards against answers of a replaced process that make its replacement unusable. */
    @Test
    fun `late answers do not count for a new registration`() {
        val pool = pool("t1")
        repeat(3) { pool.chooseId() }
        pool.list(2, listedTarget("t1").copy(address = "10.0.0.2:1"))
        pool.end("t1", notStarted(NotStartedReason.LEAVING))
        repeat(2) { pool.end("t1", failed) }
        assertEquals("usable", pool.state("t1"))
        assertEquals(0, pool.status().single().inFlight)
        assertEquals(8, generateSequence { pool.chooseId() }.count())
    }

    /** Guards against states that depend on the order in which gossip arrives. */
    @Test
    fun `facts replace each other by version only`() {
        val newer = fact(TargetFactState.ISOLATED, 2, 1)
        val cases =
            listOf(
                fact(TargetFactState.RECOVERED, 1, 9) to false,
                fact(TargetFactState.RECOVERED, 2, 1) to false,
                fact(TargetFactState.RECOVERED, 2, 2) to true,
                fact(TargetFactState.LEAVING, 3, 1) to true,
            )
        for ((later, isNewer) in cases) {
            val pool = pool("t1", "t2")
            assertTrue(pool.applyFact(newer, 0))
            assertFalse(pool.applyFact(newer, 0))
            assertEquals(isNewer, pool.applyFact(later, 0), "$later")
            assertEquals(listOf(if (isNewer) later else newer), pool.takeFacts())
        }
    }

    /** Guards against a leaving target that peers use because another fact got the same or a higher version. */
    @Test
    fun `a leaving fact is republished with a higher version than conflicting facts`() {
        for (other in listOf(fact(TargetFactState.RECOVERED, 1, 1), fact(TargetFactState.ISOLATED, 1, 7))) {
            val pool = pool("t1", "t2")
            pool.applyFact(fact(TargetFactState.LEAVING, 1, 1), 0)
            pool.applyFact(other, 0)
            assertEquals(fact(TargetFactState.LEAVING, 1, other.sequence + 1), pool.takeFacts().single())
            assertFalse(pool.isUsed("t1", 0))
        }
    }

    /** Guards against failures during shutdown that replace the fact that the target is leaving. */
    @Test
    fun `failing tasks of a leaving target do not change its fact`() {
        val pool = pool("t1")
        repeat(4) { pool.chooseId() }
        pool.end("t1", notStarted(NotStartedReason.LEAVING))
        repeat(3) { pool.end("t1", failed) }
        assertEquals(listOf(TargetFactState.LEAVING), pool.takeFacts().map { it.state })
        assertEquals("leaving", pool.state("t1"))
        assertNull(pool.nextTimerMillis())
    }

    /** Guards against a returned target that stays unused on an instance whose list is outdated. */
    @Test
    fun `a recovery reported by a peer counts if its list is newer`() {
        for ((listVersion, usable) in listOf(1L to false, 2L to true)) {
            val pool = pool("t1")
            pool.applyFact(fact(TargetFactState.LEAVING, 1, 1), 0)
            pool.applyFact(fact(TargetFactState.RECOVERED, listVersion, 2), 0)
            assertEquals(usable, pool.isUsed("t1", 0))
            val expected = if (usable) TargetFactState.RECOVERED else TargetFactState.LEAVING
            assertEquals(expected, pool.takeFacts().single().state)
        }
    }

    /** Guards against an isolation that never ends because the peer that reported it is gone. */
    @Test
    fun `a target isolated by a peer is probed locally`() {
        val pool = pool("t1", "t2")
        pool.applyFact(fact(TargetFactState.ISOLATED, 1, 1), 0)
        assertFalse(pool.isUsed("t1", 0))
        pool.onTimer(1_300)
        assertEquals("t1", pool.chooseId(1_300))
        pool.end("t1", succeeded, 1_400)
        assertTrue(pool.isUsed("t1", 1_400))
        assertTrue(pool.applyFact(fact(TargetFactState.ISOLATED, 1, 5), 1_500))
        assertTrue(pool.isUsed("t1", 1_500), "the target has just succeeded here")
    }

    /** Guards against digests that grow without bound or repeat facts forever. */
    @Test
    fun `facts are gossiped for a limited number of rounds`() {
        val pool = pool("t1", "t2", entryInstances = 9)
        pool.applyFact(fact(TargetFactState.ISOLATED, 1, 1), 0)
        val rounds = generateSequence { pool.takeFacts().ifEmpty { null } }.take(100).count()
        assertEquals(4 + TargetFacts.EXTRA_ROUNDS, rounds)
        repeat(100) { pool.applyFact(fact(TargetFactState.ISOLATED, 1, 1, "u$it"), 0) }
        assertEquals(TargetFacts.MAX_FACTS_PER_DIGEST, pool.takeFacts().size)
    }

    /** Guards against wrong declared run times that make every target look slow, and against missing a slow one. */
    @Test
    fun `slowness is relative to the other targets`() {
        val pool = pool("fast", "usual", "slow")
        val factors = mapOf("fast" to 5L, "usual" to 10L, "slow" to 40L)
        repeat(300) { step ->
            val chosen = generateSequence { pool.chooseId(step * 10L) }.toList()
            chosen.forEach { pool.end(it, succeeded, step * 10L, requirements.expectedMillis * factors.getValue(it)) }
        }
        val slowness = pool.status().associate { it.targetId.value to it.slowness }
        assertTrue(slowness.getValue("fast") < slowness.getValue("usual") * 0.7, "$slowness")
        assertTrue(slowness.getValue("slow") > slowness.getValue("usual") * 2, "$slowness")
        assertTrue(slowness.getValue("usual") in 0.3..1.5, "$slowness")
        assertEquals("fast", pool.chooseId(3_000))
    }

    /** Guards against lost or duplicated slots in any order of lists, facts, answers and timers. */
    @Test
    fun `random operations neither lose nor duplicate slots`() {
        for (seed in 1L..200L) randomRun(seed)
    }

    private fun randomRun(seed: Long) {
        val random = Random(seed)
        val ids = List(6) { "t$it" }
        val pool = pool(*ids.toTypedArray(), entryInstances = 1 + random.nextInt(9), seed = seed)
        val running = mutableListOf<ChosenTarget>()
        var nowMillis = 0L
        var version = 1L
        var listed = ids.toSet()
        repeat(400) {
            nowMillis += random.nextLong(200)
            when (random.nextInt(12)) {
                0 -> {
                    val instances = ids.filter { random.nextInt(5) > 0 }.map { randomInstance(it, random) }
                    listed = instances.filter { it.state == ListedState.LIVE }.map { it.id }.toSet()
                    pool.list(++version, *instances.toTypedArray(), nowMillis = nowMillis)
                }
                1 -> {
                    val state = TargetFactState.entries.random(random)
                    pool.applyFact(fact(state, version, random.nextLong(20), ids.random(random)), nowMillis)
                }
                2 -> pool.onTimer(nowMillis)
                3 -> pool.setEntryInstances(1 + random.nextInt(9))
                in 4..7 ->
                    if (running.isNotEmpty()) {
                        val ended = running.removeAt(random.nextInt(running.size))
                        pool.complete(
                            ended.targetId,
                            requirements,
                            randomAnswer(random),
                            random.nextLong(500),
                            nowMillis,
                        )
                    }
                else ->
                    pool.choose(if (random.nextBoolean()) requirements else nonIdempotent, nowMillis)?.let {
                        assertTrue(it.targetId.value in listed, "seed $seed: ${it.targetId} is not live")
                        running += it
                    }
            }
            assertTrue(pool.status().sumOf { it.inFlight } <= running.size, "seed $seed")
            assertTrue(pool.status().all { it.inFlight <= 8 }, "seed $seed")
        }
        running.forEach { pool.complete(it.targetId, requirements, null, 1, nowMillis) }
        assertEquals(0, pool.status().sumOf { it.inFlight }, "seed $seed")
        assertEquals(0, pool.capacity("orders").inFlight, "seed $seed")
        // All targets are registered anew, and the pool must use each of them again.
        pool.list(version + 1, nowMillis = nowMillis)
        pool.list(version + 2, *ids.map { listedTarget(it) }.toTypedArray(), nowMillis = nowMillis)
        for (id in ids) assertTrue(pool.isUsed(id, nowMillis), "seed $seed: $id")
    }

    private fun randomInstance(
        id: String,
        random: Random,
    ): ListedInstance {
        val state = if (random.nextInt(5) == 0) ListedState.LEAVING else ListedState.LIVE
        return listedTarget(id).copy(state = state, address = "10.0.0.${1 + random.nextInt(2)}:$id")
    }

    private fun randomAnswer(random: Random): TargetAnswer? =
        when (random.nextInt(7)) {
            0 -> null
            1 -> failed
            2 -> TargetAnswer.Lost("reset")
            3 -> notStarted(NotStartedReason.entries.random(random))
            else -> succeeded(random.nextInt(9))
        }
}
