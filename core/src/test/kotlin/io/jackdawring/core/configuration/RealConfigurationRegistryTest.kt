package io.jackdawring.core.configuration

import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.OperationId
import io.jackdawring.core.Owner
import io.jackdawring.core.StateChange
import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import io.jackdawring.core.entryOptions
import io.jackdawring.core.membership.PeerMessage
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RealConfigurationRegistryTest {
    private val self = Owner(InstanceId("e1"), 1, "10.0.0.1:7100", FailureDomainId("a"))
    private val peer = Owner(InstanceId("e2"), 1, "10.0.0.2:7100", FailureDomainId("a"))

    private fun document(
        team: String,
        quota: Int,
    ) = TeamDocument(team, listOf(ServiceDefinition("$team-service", team, 1, quota, listOf(KindDefinition("k", 1)))))

    private fun hashOf(document: TeamDocument) = ConfigurationCodec.hash(ConfigurationCodec.encode(document))

    /** The quota of every team but "steady" depends on [version]. */
    private fun documents(version: Long) =
        listOf(document("red", version.toInt()), document("blue", -version.toInt()), document("steady", 1))

    private fun head(version: Long) = ConfigurationHead(version, "p$version", "op", hashes(version))

    private fun hashes(version: Long) = documents(version).associate { it.team to hashOf(it) }

    /** A registry with a store whose content the test sets; [answer] answers its calls. */
    private inner class Fixture : ConfigurationCallbacks {
        val store = HashMap<String, StoreAnswer.Found>()
        val calls = LinkedHashMap<OperationId, StoreCall>()
        val sent = ArrayList<PeerMessage>()
        val reports = ArrayList<StateChange>()
        val applied = ArrayList<Configuration>()
        var nowMillis = 0L
        private var nextOperation = 1L
        val registry = RealConfigurationRegistry(entryOptions(self), this)

        override fun callStore(call: StoreCall) = OperationId(nextOperation++).also { calls[it] = call }

        override fun send(
            peer: Owner,
            message: PeerMessage,
        ) {
            sent += message
        }

        override fun report(change: StateChange) {
            reports += change
        }

        override fun configurationChanged(configuration: Configuration) {
            applied += configuration
        }

        fun put(
            key: String,
            text: String,
            revision: Long,
        ) {
            store[key] = StoreAnswer.Found(text, revision)
        }

        /** Publishes [version] and runs until the registry has applied it. */
        fun publishAndApply(version: Long) {
            publish(version)
            run(2_000)
        }

        fun offer(
            version: Long,
            documents: List<TeamDocument> = documents(version),
        ) = registry.onOffer(PeerMessage.ConfigurationOffer(peer, head(version), documents), nowMillis)

        fun publish(
            version: Long,
            revision: Long = version,
            documents: List<TeamDocument> = documents(version),
        ) {
            documents.forEach { put(ConfigurationCodec.documentKey(hashOf(it)), ConfigurationCodec.encode(it), 1) }
            put(ConfigurationCodec.HEAD_KEY, ConfigurationCodec.encode(head(version)), revision)
        }

        fun answer(
            operation: OperationId,
            down: Boolean = false,
        ) {
            val key =
                when (val call = calls.remove(operation)) {
                    is StoreCall.Get -> call.key
                    is StoreCall.Watch -> call.key
                    else -> return
                }
            val found = store[key] ?: StoreAnswer.Found(null, 0)
            val answer = if (down) StoreAnswer.Unavailable(false) else found
            assertTrue(registry.onStoreAnswered(operation, answer, nowMillis))
        }

        /** Runs timers and answers open calls for [millis]; watches are answered every 100 ms. */
        fun run(
            millis: Long,
            down: Boolean = false,
        ): Int {
            var answered = 0
            val endMillis = nowMillis + millis
            while (nowMillis < endMillis) {
                nowMillis += 100
                registry.nextTimerMillis()?.let { if (it <= nowMillis) registry.onTimer(nowMillis) }
                repeat(3) {
                    for (operation in calls.keys.toList()) {
                        answer(operation, down)
                        answered++
                    }
                }
            }
            return answered
        }
    }

    /** Guards against applying an incomplete, unverified or older configuration, or never applying a valid one. */
    @Test
    fun `the highest complete and verified version is applied`() {
        class Case(
            val name: String,
            val expected: Long,
            val rejected: String? = null,
            val steps: Fixture.() -> Unit,
        )
        val cases =
            listOf(
                Case("empty store", 0) { run(5_000) },
                Case("first version", 1) { publishAndApply(1) },
                Case("watched change", 2) { listOf(1L, 2L).forEach { publishAndApply(it) } },
                Case("store back after an outage", 1) {
                    run(60_000, down = true)
                    publishAndApply(1)
                },
                Case("a document is missing", 1) {
                    publishAndApply(1)
                    publish(2, documents = documents(2).drop(1))
                    run(10_000)
                },
                Case("a missing document appears", 2) {
                    publish(2, documents = documents(2).drop(1))
                    run(10_000)
                    publishAndApply(2)
                },
                Case("a document does not match its hash", 0, "does not match its hash") {
                    publish(1)
                    val key = ConfigurationCodec.documentKey(hashOf(documents(1)[0]))
                    put(key, ConfigurationCodec.encode(document("red", 77)), 1)
                    run(10_000)
                },
                Case("the head is malformed", 0, "malformed") {
                    put(ConfigurationCodec.HEAD_KEY, "{", 1)
                    run(2_000)
                },
                Case("the store goes back to a lower version", 3, "lower than 3") {
                    publishAndApply(3)
                    publish(2, revision = 9)
                    run(5_000)
                },
                Case("the store shows another publication of the same version", 3, "another publication") {
                    publishAndApply(3)
                    put(ConfigurationCodec.HEAD_KEY, ConfigurationCodec.encode(head(3).copy(publishId = "x")), 8)
                    run(5_000)
                },
                Case("a peer's offer without the store", 4) { offer(4) },
                Case("an older offer", 4) { listOf(4L, 3L).forEach { offer(it) } },
                Case("an offer with only the missing documents", 5) {
                    offer(4)
                    offer(5, documents(5).take(2))
                },
                Case("an incomplete offer is completed from the store", 5) {
                    publish(5)
                    store.remove(ConfigurationCodec.HEAD_KEY)
                    offer(5, documents(5).take(1))
                    run(1_000)
                },
                Case("an offer with a wrong document", 4, "does not match its hash") {
                    offer(4)
                    offer(5, documents(5).drop(1) + document("red", 9))
                },
                Case("a complete lower offer while a higher head is incomplete", 6) {
                    publish(7, documents = emptyList())
                    run(1_000)
                    offer(6)
                    run(1_000)
                },
            )
        for (case in cases) {
            val fixture = Fixture()
            case.steps(fixture)
            val current = fixture.registry.current
            assertEquals(case.expected, current.version, case.name)
            val services = Configuration.of(1, documents(current.version)).services
            if (current.version > 0) assertEquals(services, current.services, case.name)
            val reasons = fixture.reports.filterIsInstance<StateChange.ConfigurationRejected>().map { it.reason }
            assertEquals(if (case.rejected == null) 0 else 1, reasons.distinct().size, "${case.name}: $reasons")
            assertTrue(reasons.all { case.rejected.orEmpty() in it }, "${case.name}: $reasons")
        }
    }

    /** Guards against offers with too few documents, and against repeated requests for the same version. */
    @Test
    fun `a version is requested once and the offer contains the missing documents`() {
        val fixture = Fixture()
        fixture.offer(2)
        repeat(5) { fixture.registry.onPeerVersion(peer, 3, 100L * it) }
        fixture.registry.onPeerVersion(peer, 2, 100)
        assertEquals(listOf<PeerMessage>(PeerMessage.ConfigurationRequest(self, 2, hashes(2))), fixture.sent)
        fixture.registry.onPeerVersion(peer, 3, 1_100)
        assertEquals(2, fixture.sent.size, "a lost request is repeated")
        fixture.sent.clear()
        fixture.registry.onRequest(PeerMessage.ConfigurationRequest(peer, 2, emptyMap()))
        fixture.registry.onRequest(PeerMessage.ConfigurationRequest(peer, 1, hashes(1)))
        val lacking = documents(2).take(2)
        assertEquals(listOf<PeerMessage>(PeerMessage.ConfigurationOffer(self, head(2), lacking)), fixture.sent)
    }

    /** Guards against overloading a store that is down, or one that answers watches at once. */
    @Test
    fun `calls to the store are bounded`() {
        for ((down, bound) in listOf(true to 70, false to 62)) {
            val fixture = Fixture()
            val calls = fixture.run(60_000, down)
            assertTrue(calls in 20..bound, "$calls calls in 60 s, down=$down")
            assertEquals(!down, fixture.registry.storeReachable)
        }
    }

    /** Guards against decreasing versions and content that differs from its version, in any order of deliveries. */
    @Property(seed = "5", tries = 300)
    fun `applied versions never decrease and match their hashes`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val fixture = Fixture()
        val some = { version: Long -> documents(version).filter { random.nextBoolean() } }
        repeat(200) {
            val version = random.nextLong(1, 12)
            when (random.nextInt(7)) {
                0 -> fixture.publish(version, random.nextLong(1, 1_000))
                1 -> fixture.publish(version, random.nextLong(1, 1_000), some(version))
                2 -> fixture.offer(version)
                3 -> fixture.offer(version, some(random.nextLong(version, version + 2)))
                4 -> fixture.registry.onPeerVersion(peer, version, fixture.nowMillis)
                5 ->
                    fixture.calls.keys
                        .toList()
                        .randomOrNull(
                            random,
                        )?.let { fixture.answer(it, random.nextInt(4) == 0) }
                else -> {
                    fixture.nowMillis += random.nextLong(2_000)
                    fixture.registry.onTimer(fixture.nowMillis)
                }
            }
        }
        fixture.publish(20, 2_000)
        fixture.run(40_000)
        assertEquals(20, fixture.registry.current.version, "the highest version is applied in the end")
        val versions = fixture.applied.map { it.version }
        assertEquals(versions.distinct().sorted(), versions)
        for (configuration in fixture.applied) {
            assertEquals(Configuration.of(1, documents(configuration.version)).services, configuration.services)
        }
    }
}
