package io.jackdawring.fleet

import io.jackdawring.core.FailureDomainId
import io.jackdawring.fleet.metrics.FleetMetrics
import io.jackdawring.fleet.store.FakeKeyValueStore
import io.jackdawring.fleet.store.StoreEvent
import io.jackdawring.fleet.store.StoreItem
import io.jackdawring.fleet.store.StoreMirror
import io.jackdawring.fleet.store.WatchResult
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against requests that are missed or lost in between, and against a grace that goes beyond the bound. */
class StoredEvacuationsTest {
    private class Fixture {
        val loop = FakeControlLoop()
        val store = FakeKeyValueStore()
        var changes = 0
        val mirror = StoreMirror("op/", store, loop) { if (evacuations.update()) changes++ }
        private val evacuations: StoredEvacuations by lazy {
            StoredEvacuations(mirror, "op/evacuate/", BOUND_MILLIS, loop, FleetMetrics())
        }

        init {
            mirror.start()
        }

        fun request(
            revision: Long,
            key: String = "op/evacuate/a",
        ) = StoreItem(key, ByteArray(0), revision)

        fun written(revision: Long) = StoreEvent.Written(request(revision))

        fun removed(revision: Long) = StoreEvent.Removed("op/evacuate/a", revision)

        val isEvacuated get() = evacuations.isEvacuated(DOMAIN)
        val graceMillis get() = evacuations.graceMillis(DOMAIN)
        val domains get() = evacuations.domains
    }

    private class Row(
        val name: String,
        val test: Fixture.() -> Unit,
    )

    private val rows =
        listOf(
            Row("nothing is known before the first list") {
                assertNull(isEvacuated)
                store.answerList(5)
                assertEquals(false, isEvacuated)
                assertEquals(1, changes)
            },
            Row("a request in the first list gets no grace, because nobody knows when it was stored") {
                store.answerList(5, request(4))
                assertEquals(true, isEvacuated)
                assertEquals(0, graceMillis)
            },
            Row("a request that a peer passes on counts before the first list") {
                mirror.applyIfNewer(request(4))
                assertEquals(true, isEvacuated)
                assertEquals(0, graceMillis)
            },
            Row("the grace of a request that is learned at once is 1 s") {
                store.answerList(5)
                loop.clock.advance(500)
                store.answerWatch(6, written(6))
                assertEquals(1_000, graceMillis)
                loop.clock.advance(1_500)
                assertEquals(0, graceMillis)
            },
            Row("the grace of a request that may be old ends 1 s before the bound") {
                store.answerList(5)
                loop.clock.advance(3_600)
                store.answerWatch(6, written(6))
                assertEquals(BOUND_MILLIS - 1_000 - 3_600, graceMillis)
            },
            Row("a request of which the news comes after the bound gets no grace") {
                store.answerList(5)
                loop.clock.advance(6_000)
                store.answerWatch(6, written(6))
                assertEquals(0, graceMillis)
            },
            Row("a compacted history: the request holds until a list lacks it") {
                store.answerList(5, request(4))
                store.watches.removeFirst()(WatchResult.HistoryCompacted)
                assertEquals(true, isEvacuated)
                store.answerList(9, request(4))
                assertEquals(true, isEvacuated)
                assertEquals(1, changes)
                store.watches.removeFirst()(WatchResult.HistoryCompacted)
                store.answerList(11)
                assertEquals(false, isEvacuated)
            },
            Row("a request that is withdrawn and set again in one answer changes nothing") {
                store.answerList(5, request(4))
                store.answerWatch(8, removed(7), written(8))
                assertEquals(true, isEvacuated)
                assertEquals(1, changes)
            },
            Row("a withdrawn request does not return by news of a peer that has not heard of it") {
                store.answerList(5, request(4))
                store.answerWatch(7, removed(7))
                mirror.applyIfNewer(request(4))
                assertEquals(false, isEvacuated)
            },
            Row("other keys of operators are no requests") {
                store.answerList(5, request(2, "op/config"), request(3, "op/evacuate/"), request(4, "op/other"))
                assertEquals(emptyList(), domains)
            },
        )

    @TestFactory
    fun `requests to evacuate a failure domain`() = rows.map { DynamicTest.dynamicTest(it.name) { it.test(Fixture()) } }

    private companion object {
        const val BOUND_MILLIS = 5_000L
        val DOMAIN = FailureDomainId("a")
    }
}
