package io.jackdawring.testing

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.InstanceList
import io.jackdawring.core.InstanceRole
import io.jackdawring.core.ListedInstance
import io.jackdawring.core.ListedState
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.configuration.ConfigurationCodec
import io.jackdawring.core.configuration.ConfigurationHead
import io.jackdawring.core.configuration.Confirmation
import io.jackdawring.core.configuration.ConfirmationTracker
import io.jackdawring.core.configuration.KindDefinition
import io.jackdawring.core.configuration.Publication
import io.jackdawring.core.configuration.PublicationDiff
import io.jackdawring.core.configuration.PublicationResult
import io.jackdawring.core.configuration.PublicationResult.Committed
import io.jackdawring.core.configuration.PublicationResult.Conflict
import io.jackdawring.core.configuration.PublicationResult.NotCommitted
import io.jackdawring.core.configuration.PublicationResult.Undecided
import io.jackdawring.core.configuration.PublicationStep
import io.jackdawring.core.configuration.ServiceDefinition
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PublicationTest {
    private fun service(
        team: String,
        quota: Int = 1,
        name: String = "$team-service",
    ) = ServiceDefinition(name, team, 1, quota, listOf(KindDefinition("k", 1)))

    private fun heads(store: FakeStore): List<ConfigurationHead> =
        store.history(ConfigurationCodec.HEAD_KEY).map { checkNotNull(ConfigurationCodec.decodeHead(it)) }

    /** Performs the steps of a publication against [store]. */
    private class Operator(
        private val store: FakeStore,
        val publication: Publication,
    ) {
        var result: PublicationResult? = null
        var nextCall: PublicationStep.Call? = null
        var dueMillis = 0L

        fun begin() = accept(publication.start())

        private fun accept(step: PublicationStep) {
            when (step) {
                is PublicationStep.Finished -> result = step.result
                is PublicationStep.Call -> {
                    nextCall = step
                    dueMillis = store.nowMillis + step.delayMillis
                }
            }
        }

        /** Makes the next call if it is due. */
        fun makeDueCall() {
            val step = nextCall?.takeIf { result == null && dueMillis <= store.nowMillis } ?: return
            nextCall = null
            store.call(step.call) { if (result == null) accept(publication.onAnswered(it)) }
        }

        fun finish(): PublicationResult {
            while (result == null) {
                makeDueCall()
                if (result == null) store.advanceTo(maxOf(store.nextEventMillis() ?: 0, dueMillis))
            }
            return checkNotNull(result)
        }
    }

    private fun FakeStore.publish(
        id: String,
        vararg services: ServiceDefinition,
        teams: Set<String> = services.map { it.team }.toSet(),
        by: String = "op-$id",
    ) = Operator(this, Publication(services.toList(), by, id, teams)).apply { begin() }.finish()

    /** Loses the reply to the next swap of the head, after which there are [others] more publications. */
    private fun FakeStore.loseReply(others: Int = 0) {
        losesReply = { call ->
            val lose = call is StoreCall.CompareAndSwap && call.key == ConfigurationCodec.HEAD_KEY
            if (lose) {
                losesReply = { false }
                // Runs after the swap has taken effect and before its publisher reads the head back.
                call(StoreCall.Watch(ConfigurationCodec.HEAD_KEY, 1, 10)) {
                    repeat(others) { publish("x$it", service("blue", it)) }
                }
            }
            lose
        }
    }

    /** An operator that publishes team red as "p" and has made its first [calls] calls. */
    private fun FakeStore.startRed(calls: Int) =
        Operator(this, Publication(listOf(service("red")), "op", "p", setOf("red"))).apply {
            begin()
            repeat(calls) { makeDueCall() }
        }

    private fun FakeStore.removeDocument(team: String) =
        overwrite(ConfigurationCodec.documentKey(heads(this)[0].documents.getValue(team)), null)

    /** Guards against results that contradict the store, and against overwritten publications. */
    @Test
    fun `results match the store`() {
        class Case(
            val name: String,
            val expected: PublicationResult,
            val finalVersion: Long?,
            val steps: FakeStore.() -> PublicationResult,
        )
        val cases =
            listOf(
                Case("first publication", Committed(1), 1) { publish("p", service("red")) },
                Case("second publication", Committed(2), 2) {
                    publish("a", service("blue"))
                    publish("p", service("red"))
                },
                Case("the same id again", Committed(1), 2) {
                    publish("p", service("red"))
                    publish("a", service("blue"))
                    publish("p", service("red"))
                },
                Case("lost reply", Committed(1), 1) {
                    loseReply()
                    publish("p", service("red"))
                },
                Case("lost reply, then 30 others publish", Committed(1), 31) {
                    loseReply(others = 30)
                    publish("p", service("red"))
                },
                Case("lost reply, then more publications than the history holds", Undecided, 36) {
                    loseReply(others = 35)
                    publish("p", service("red"))
                },
                Case("the swap takes effect only after the time limit", Committed(1), 1) {
                    val operator = startRed(calls = 2)
                    delayMillis = 5_000
                    operator.makeDueCall()
                    advanceTo(1_000)
                    delayMillis = 0
                    operator.finish().also { advanceTo(10_000) }
                },
                Case("lost race", Conflict("op-a", 1), 1) {
                    val operator = startRed(calls = 1)
                    publish("a", service("red", 7))
                    operator.finish()
                },
                Case("store down", NotCommitted("the store did not answer the read of the head"), null) {
                    down = true
                    publish("p", service("red"))
                },
                Case("time limit during the swap", Undecided, null) { startRed(calls = 2).publication.giveUp() },
                Case(
                    "time limit before the swap",
                    NotCommitted("the time limit was reached before the head was swapped"),
                    null,
                ) {
                    startRed(calls = 0).publication.giveUp()
                },
                Case("service of another team", NotCommitted("service s is already defined by team blue"), 1) {
                    publish("a", service("blue", name = "s"))
                    publish("p", service("red", name = "s"))
                },
                Case(
                    "service of a team that is not replaced",
                    NotCommitted("service s belongs to team red, which is not replaced"),
                    null,
                ) {
                    publish("p", service("red", name = "s"), teams = setOf("blue"))
                },
                Case("service twice", NotCommitted("service red-service is defined twice"), null) {
                    publish("p", service("red"), service("red"))
                },
                Case("malformed head", NotCommitted("the head in the store is malformed"), null) {
                    overwrite(ConfigurationCodec.HEAD_KEY, "?")
                    publish("p", service("red"))
                },
                Case(
                    "lost document",
                    NotCommitted("the document of team b is missing or damaged; publish that team first"),
                    1,
                ) {
                    publish("a", service("b"))
                    removeDocument("b")
                    publish("p", service("red"))
                },
                Case("own document lost", Committed(2), 2) {
                    publish("a", service("red"))
                    removeDocument("red")
                    publish("p", service("red"))
                },
                Case("team removed", Committed(2), 2) {
                    publish("a", service("red"), service("blue"))
                    publish(
                        "p",
                        teams = setOf("blue"),
                    ).also { assertEquals(setOf("red"), heads(this)[1].documents.keys) }
                },
            )
        for (case in cases) {
            val store = FakeStore()
            assertEquals(case.expected, case.steps(store), case.name)
            val head = store.value(ConfigurationCodec.HEAD_KEY)?.let { ConfigurationCodec.decodeHead(it) }
            assertEquals(case.finalVersion, head?.version, case.name)
        }
    }

    /** Guards against a diff without some of the removed or changed services. */
    @Test
    fun `the diff names added, changed and removed services`() {
        val store = FakeStore()
        store.publish("a", service("red", name = "r1"), service("red", name = "r2"), service("blue"))
        val services = listOf(service("red", 5, "r1"), service("red", name = "r3"))
        val operator = Operator(store, Publication(services, "op", "p", setOf("red")))
        operator.begin()
        operator.finish()
        assertEquals(PublicationDiff(listOf("r3"), listOf("r1"), listOf("r2")), operator.publication.diff)
    }

    /** Guards against reporting a publication as accepted before every listed entry instance has confirmed it. */
    @Test
    fun `a version is accepted once every listed entry instance has confirmed it`() {
        fun listed(
            id: String,
            role: InstanceRole = InstanceRole.ENTRY,
            state: ListedState = ListedState.LIVE,
        ) = ListedInstance(id, role, FailureDomainId("a"), "10.0.0.1:1", state)
        val all = listOf(listed("e1"), listed("e2", state = ListedState.LEAVING), listed("t1", InstanceRole.TARGET))
        val cases =
            listOf(
                Triple(all, listOf("e1" to 5L, "e2" to 6L), Confirmation.Accepted),
                Triple(all, listOf("e1" to 5L), Confirmation.Pending(listOf("e2"))),
                Triple(all, listOf("e1" to 5L, "e2" to 4L), Confirmation.Pending(listOf("e2"))),
                Triple(all, listOf("e1" to 5L, "e2" to 5L, "e1" to 0L), Confirmation.Pending(listOf("e1"))),
                Triple(all, listOf("e3" to 5L), Confirmation.Pending(listOf("e1", "e2"))),
                Triple(emptyList(), listOf("e1" to 5L), Confirmation.Pending(emptyList())),
            )
        for ((instances, reports, expected) in cases) {
            val tracker = ConfirmationTracker(5)
            reports.forEach { (id, version) -> tracker.reported(InstanceId(id), version) }
            assertEquals(expected, tracker.check(InstanceList(1, instances)), "$reports")
        }
    }

    /**
     * Guards against publications that are lost, applied twice, reported as failed although they took effect, or that
     * revert another one, when operators publish concurrently and the store fails.
     */
    @Property(seed = "23", tries = 400)
    fun `interleaved publications with faults leave one consistent history`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val store = FakeStore()
        val teams = listOf("red", "blue", "green")
        val operators = LinkedHashMap<String, Operator>()
        val replaced = HashMap<String, Set<String>>()
        store.losesReply = { random.nextInt(5) == 0 }
        repeat(300) { step ->
            if (random.nextInt(12) == 0) {
                val id = "p$step"
                replaced[id] = teams.filter { random.nextBoolean() }.toSet()
                val services = replaced.getValue(id).filter { random.nextInt(5) > 0 }.map { service(it, step) }
                operators[id] =
                    Operator(store, Publication(services, "op", id, replaced.getValue(id))).also { it.begin() }
            }
            store.down = random.nextInt(10) == 0
            store.delayMillis = listOf(0L, 0L, 5L, 200L, 3_000L).random(random)
            val open = operators.values.filter { it.result == null }
            repeat(3) { open.randomOrNull(random)?.makeDueCall() }
            val timedOut = open.randomOrNull(random)?.takeIf { random.nextInt(60) == 0 }
            timedOut?.let { it.result = it.result ?: it.publication.giveUp() }
            store.advanceTo(store.nowMillis + random.nextLong(300))
        }
        operators.values.forEach { if (it.result == null) it.result = it.publication.giveUp() }
        // Calls whose callers have given up may still take effect.
        store.advanceTo(store.nowMillis + 100_000)
        val heads = heads(store)
        assertEquals(heads.indices.map { it + 1L }, heads.map { it.version })
        val versions = heads.groupBy({ it.publishId }, { it.version })
        for ((id, operator) in operators) {
            when (val result = checkNotNull(operator.result)) {
                is Committed -> assertEquals(listOf(result.version), versions[id], id)
                is Conflict, is NotCommitted -> assertEquals(null, versions[id], "$id: $result")
                Undecided -> assertTrue(versions[id].orEmpty().size <= 1, id)
            }
        }
        for ((former, next) in heads.zipWithNext()) {
            val own = replaced.getValue(next.publishId)
            assertEquals(
                former.documents - own,
                next.documents - own,
                "${next.publishId} changed a team that it does not replace",
            )
            assertTrue(next.documents.values.all { store.value(ConfigurationCodec.documentKey(it)) != null })
        }
    }

    /** Guards against a late answer that changes the result. */
    @Test
    fun `answers after the end change nothing`() {
        val publication = Publication(listOf(service("red")), "op", "p", setOf("red"))
        publication.start()
        val result = publication.giveUp()
        assertEquals(PublicationStep.Finished(result), publication.onAnswered(StoreAnswer.Found(null, 0)))
    }
}
