package io.jackdawring.fleet.store

import io.jackdawring.fleet.FakeControlLoop
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Guards against a mirror that misses a change, returns to an older item, or stops watching. */
class StoreMirrorTest {
    private class Fixture {
        val loop = FakeControlLoop()
        val store = FakeKeyValueStore()
        var changes = 0
        var failing = false
        val mirror =
            StoreMirror("k/", store, loop, batchDelayMillis = 0) {
                require(!failing) { "the listener fails" }
                changes++
            }

        fun item(
            key: String,
            revision: Long,
        ) = StoreItem("k/$key", "$key$revision".encodeToByteArray(), revision)

        fun written(
            key: String,
            revision: Long,
        ) = StoreEvent.Written(item(key, revision))

        fun cached() = mirror.items.map { it.value.decodeToString() }.sorted()
    }

    private class Row(
        val name: String,
        val test: Fixture.() -> Unit,
    )

    private val rows =
        listOf(
            Row("a list and the changes after it") {
                mirror.start()
                store.answerList(5, item("a", 3), item("b", 5))
                store.answerWatch(8, written("a", 7), StoreEvent.Removed("k/b", 8))
                assertEquals(listOf("a7"), cached())
                assertEquals(listOf(5L, 8L), store.watchedAfter)
            },
            Row("an empty result changes nothing, and the next watch starts from its revision") {
                mirror.start()
                store.answerList(5, item("a", 3))
                store.answerWatch(9)
                assertEquals(1, changes)
                assertEquals(listOf(5L, 9L), store.watchedAfter)
            },
            Row("after compacted history, the list is read again and removed items disappear") {
                mirror.start()
                store.answerList(5, item("a", 3), item("b", 5))
                store.watches.removeFirst()(WatchResult.HistoryCompacted)
                store.answerList(20, item("a", 12))
                assertEquals(listOf("a12"), cached())
            },
            Row("a stale list does not replace a newer item from a peer") {
                mirror.start()
                store.answerList(5, item("a", 3))
                mirror.applyIfNewer(item("a", 9))
                store.watches.removeFirst()(WatchResult.HistoryCompacted)
                store.answerList(6, item("a", 3))
                assertEquals(listOf("a9"), cached())
            },
            Row("an event that is older than the cached item is ignored") {
                mirror.start()
                store.answerList(5, item("a", 5))
                mirror.applyIfNewer(item("a", 9))
                store.answerWatch(9, written("a", 7), StoreEvent.Removed("k/a", 8))
                assertEquals(listOf("a9"), cached())
            },
            Row("an outdated item from a peer does not restore a removed one") {
                mirror.start()
                store.answerList(5, item("a", 3), item("b", 5))
                store.answerWatch(8, StoreEvent.Removed("k/a", 8))
                mirror.applyIfNewer(item("a", 7))
                assertEquals(listOf("b5"), cached())
            },
            Row("a list without an item that a peer sent earlier removes it") {
                mirror.start()
                mirror.applyIfNewer(item("a", 3))
                store.answerList(5, item("b", 5))
                assertEquals(listOf("b5"), cached())
            },
            Row("an exception of the listener does not stop the watch") {
                mirror.start()
                failing = true
                assertFailsWith<IllegalArgumentException> { store.answerList(5, item("a", 3)) }
                assertFailsWith<IllegalArgumentException> { store.answerWatch(6, written("a", 6)) }
                failing = false
                store.answerWatch(7, written("a", 7))
                assertEquals(listOf("a7"), cached())
            },
            Row("calls to a store that does not answer are retried") {
                mirror.start()
                store.lists.removeFirst()(ListResult.Unavailable("status 503"))
                loop.clock.advance(1_000)
                store.answerList(5, item("a", 3))
                store.watches.removeFirst()(WatchResult.Unavailable("timed out"))
                loop.clock.advance(1_000)
                store.answerWatch(6, written("a", 6))
                assertEquals(listOf("a6"), cached())
            },
            Row("the result of a watch from before a stop is ignored") {
                mirror.start()
                store.answerList(5, item("a", 3))
                mirror.stop()
                mirror.start()
                store.answerWatch(6, written("a", 6))
                assertEquals(false, mirror.isLoaded)
                store.answerList(7, item("b", 7))
                assertEquals(listOf("b7"), cached())
            },
        )

    @TestFactory
    fun `a mirror of the store`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test(Fixture()) } }
}
