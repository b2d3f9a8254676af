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

    /** Version [version] changes the quota of every team, but that of "steady". */
    private fun documents(version: Long) =
        listOf(document("red", version.toInt()), document("blue", -version.toInt()), document("steady", 1))

    private fun head(version: Long) =
        ConfigurationHead(
            version,
            "p$version",
            "op",
            documents(version).associate {
                it.team to
                    hashOf(it)
            },
        )

    private fun offer(version: Long) = PeerMessage.ConfigurationOffer(peer, head(version), documents(version))

    /** A registry with a store whose content the test sets; calls are answered when the test says so. */
    private inner class Fixture : ConfigurationOutlet {
        val store = HashMap<String, Pair<String, Long>>()
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

        fun publish(
            version: Long,
            revision: Long = version,
            documents: List<TeamDocument> = documents(version),
        ) {
            documents.forEach {
                store[
                    ConfigurationCodec.documentKey(
                        hashOf(it),
                    ),
                ] = ConfigurationCodec.encode(it) to 1L
            }
            store[ConfigurationCodec.HEAD_KEY] = ConfigurationCodec.encode(head(version)) to revision
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
            val found = store[key]
            val answer =
                if (down) {
                    StoreAnswer.Unavailable(false)
                } else {
                    StoreAnswer.Found(
                        found?.first,
                        found?.second ?: 0,
                    )
                }
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

    /** Guards against a configuration that is not complete, not verified, older, or never arrives. */
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
                Case("first version", 1) {
                    publish(1)
                    run(1_000)
                },
                Case("watched change", 2) {
                    publish(1)
                    run(1_000)
                    publish(2)
                    run(2_000)
                },
                Case("store back after an outage", 1) {
                    publish(1)
                    run(60_000, down = true)
                    run(3_000)
                },
                Case("a document is missing", 1) {
                    publish(1)
                    run(1_000)
                    publish(2, documents = documents(2).drop(1))
                    run(10_000)
                },
                Case("a missing document appears", 2) {
                    publish(2, documents = documents(2).drop(1))
                    run(10_000)
                    publish(2)
                    run(3_000)
                },
                Case("a document does not match its hash", 0, "does not match its hash") {
                    publish(1)
                    val key = ConfigurationCodec.documentKey(hashOf(documents(1)[0]))
                    store[key] = ConfigurationCodec.encode(document("red", 77)) to 1L
                    run(10_000)
                },
                Case("the head is malformed", 0, "malformed") {
                    store[ConfigurationCodec.HEAD_KEY] = "{" to 1L
                    run(2_000)
                },
                Case("the store goes back to a lower version", 3, "lower than 3") {
                    publish(3)
                    run(1_000)
                    publish(2, revision = 9)
                    run(5_000)
                },
                Case("the store shows another publication of the same version", 3, "another publication") {
                    publish(3)
                    run(1_000)
                    store[ConfigurationCodec.HEAD_KEY] = ConfigurationCodec.encode(head(3).copy(publishId = "x")) to 8L
                    run(5_000)
                },
                Case("a peer's offer without the store", 4) { registry.onOffer(offer(4), nowMillis) },
                Case("an older offer", 4) {
                    registry.onOffer(offer(4), nowMillis)
                    registry.onOffer(offer(3), nowMillis)
                },
                Case("an offer with only the documents that are lacking", 5) {
                    registry.onOffer(offer(4), nowMillis)
                    registry.onOffer(offer(5).copy(documents = documents(5).take(2)), nowMillis)
                },
                Case("an incomplete offer is completed from the store", 5) {
                    publish(5)
                    store.remove(ConfigurationCodec.HEAD_KEY)
                    registry.onOffer(offer(5).copy(documents = documents(5).take(1)), nowMillis)
                    run(1_000)
                },
                Case("an offer with a wrong document", 4, "does not match its hash") {
                    registry.onOffer(offer(4), nowMillis)
                    registry.onOffer(offer(5).copy(documents = documents(5).drop(1) + document("red", 9)), nowMillis)
                },
                Case("a complete lower offer while a higher head is incomplete", 6) {
                    publish(7, documents = emptyList())
                    run(1_000)
                    registry.onOffer(offer(6), nowMillis)
                    run(1_000)
                },
            )
        for (case in cases) {
            val fixture = Fixture()
            case.steps(fixture)
            val current = fixture.registry.current
            assertEquals(case.expected, current.version, case.name)
            if (current.version >
                0
            ) {
                assertEquals(Configuration.of(1, documents(current.version)).services, current.services, case.name)
            }
            val reasons = fixture.reports.filterIsInstance<StateChange.ConfigurationRejected>().map { it.reason }
            assertEquals(
                listOfNotNull(case.rejected),
                reasons.distinct().map {
                    if (case.rejected != null &&
                        case.rejected in it
                    ) {
                        case.rejected
                    } else {
                        it
                    }
                },
                case.name,
            )
        }
    }

    /** Guards against offers that lack a document, and against repeated requests for the same version. */
    @Test
    fun `requests ask once and are answered with what is lacking`() {
        val fixture = Fixture()
        fixture.registry.onOffer(offer(2), 0)
        repeat(5) { fixture.registry.onPeerVersion(peer, 3, 100L * it) }
        fixture.registry.onPeerVersion(peer, 2, 100)
        val have = documents(2).associate { it.team to hashOf(it) }
        assertEquals(listOf<PeerMessage>(PeerMessage.ConfigurationRequest(self, 2, have)), fixture.sent)
        fixture.registry.onPeerVersion(peer, 3, 1_100)
        assertEquals(2, fixture.sent.size, "a lost request is repeated")
        fixture.sent.clear()
        fixture.registry.onRequest(PeerMessage.ConfigurationRequest(peer, 2, emptyMap()))
        fixture.registry.onRequest(
            PeerMessage.ConfigurationRequest(
                peer,
                1,
                documents(1).associate {
                    it.team to
                        hashOf(it)
                },
            ),
        )
        assertEquals(
            listOf<PeerMessage>(PeerMessage.ConfigurationOffer(self, head(2), documents(2).take(2))),
            fixture.sent,
        )
    }

    /** Guards against hammering a store that is down, or one that answers watches at once. */
    @Test
    fun `calls to the store are bounded`() {
        for ((down, bound) in listOf(true to 70, false to 62)) {
            val fixture = Fixture()
            val calls = fixture.run(60_000, down)
            assertTrue(calls in 20..bound, "$calls calls in 60 s, down=$down")
            assertEquals(!down, fixture.registry.storeReachable)
        }
    }

    /** Guards against a version that decreases or content that differs from its version, whatever is delivered when. */
    @Property(seed = "5", tries = 300)
    fun `applied versions never decrease and match their hashes`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val fixture = Fixture()
        repeat(200) {
            val version = random.nextLong(1, 12)
            when (random.nextInt(7)) {
                0 -> fixture.publish(version, random.nextLong(1, 1_000))
                1 ->
                    fixture.publish(
                        version,
                        random.nextLong(1, 1_000),
                        documents(version).filter { random.nextBoolean() },
                    )
                2 -> fixture.registry.onOffer(offer(version), fixture.nowMillis)
                3 -> {
                    val some = documents(random.nextLong(version, version + 2)).filter { random.nextBoolean() }
                    fixture.registry.onOffer(offer(version).copy(documents = some), fixture.nowMillis)
                }
                4 -> fixture.registry.onPeerVersion(peer, version, fixture.nowMillis)
                5 ->
                    fixture.calls.keys
                        .randomOrNull(random)
                        ?.let { fixture.answer(it, random.nextInt(4) == 0) }
                else -> {
                    fixture.nowMillis += random.nextLong(2_000)
                    fixture.registry.onTimer(fixture.nowMillis)
                }
            }
        }
        val versions = fixture.applied.map { it.version }
        assertEquals(versions.distinct().sorted(), versions)
        for (configuration in fixture.applied) {
            assertEquals(Configuration.of(1, documents(configuration.version)).services, configuration.services)
        }
    }
}
