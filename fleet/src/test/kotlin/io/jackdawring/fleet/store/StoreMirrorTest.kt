package io.jackdawring.fleet.store

import io.jackdawring.fleet.FakeControlLoop
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Guards against copies that miss a change, go back to an older one, or stop following the store. */
class StoreMirrorTest {
    private class Scene {
        val loop = FakeControlLoop()
        val store = FakeKeyValueStore()
        var changes = 0
        var failing = false
        val mirror =
            StoreMirror("k/", store, loop, gatherMillis = 0) {
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

        fun copy() = mirror.items.map { it.value.decodeToString() }.sorted()
    }

    private class Row(
        val name: String,
        val test: Scene.() -> Unit,
    )

    private val rows =
        listOf(
            Row("a list and the changes after it") {
                mirror.start()
                store.answerList(5, item("a", 3), item("b", 5))
                store.answerWatch(8, written("a", 7), StoreEvent.Removed("k/b", 8))
                assertEquals(listOf("a7"), copy())
                assertEquals(listOf(5L, 8L), store.watchedAfter)
            },
            Row("an empty answer changes nothing and goes on from its revision") {
                mirror.start()
                store.answerList(5, item("a", 3))
                store.answerWatch(9)
                assertEquals(1, changes)
                assertEquals(listOf(5L, 9L), store.watchedAfter)
            },
            Row("lost history is read anew, and what was removed meanwhile is gone") {
                mirror.start()
                store.answerList(5, item("a", 3), item("b", 5))
                store.watches.removeFirst()(WatchResult.HistoryLost)
                store.answerList(20, item("a", 12))
                assertEquals(listOf("a12"), copy())
            },
            Row("a list that is older than what a peer told does not take it back") {
                mirror.start()
                store.answerList(5, item("a", 3))
                mirror.learn(item("a", 9))
                store.watches.removeFirst()(WatchResult.HistoryLost)
                store.answerList(6, item("a", 3))
                assertEquals(listOf("a9"), copy())
            },
            Row("an event that is older than what is known changes nothing") {
                mirror.start()
                store.answerList(5, item("a", 5))
                mirror.learn(item("a", 9))
                store.answerWatch(9, written("a", 7), StoreEvent.Removed("k/a", 8))
                assertEquals(listOf("a9"), copy())
            },
            Row("what a peer tells of an item that was removed since does not bring it back") {
                mirror.start()
                store.answerList(5, item("a", 3), item("b", 5))
                store.answerWatch(8, StoreEvent.Removed("k/a", 8))
                mirror.learn(item("a", 7))
                assertEquals(listOf("b5"), copy())
            },
            Row("a list without an item that a peer told of before removes it") {
                mirror.start()
                mirror.learn(item("a", 3))
                store.answerList(5, item("b", 5))
                assertEquals(listOf("b5"), copy())
            },
            Row("an error of the listener does not end the following of the store") {
                mirror.start()
                failing = true
                assertFailsWith<IllegalArgumentException> { store.answerList(5, item("a", 3)) }
                assertFailsWith<IllegalArgumentException> { store.answerWatch(6, written("a", 6)) }
                failing = false
                store.answerWatch(7, written("a", 7))
                assertEquals(listOf("a7"), copy())
            },
            Row("a store that does not answer is asked again") {
                mirror.start()
                store.lists.removeFirst()(ListResult.Unavailable("status 503"))
                loop.clock.advance(1_000)
                store.answerList(5, item("a", 3))
                store.watches.removeFirst()(WatchResult.Unavailable("timed out"))
                loop.clock.advance(1_000)
                store.answerWatch(6, written("a", 6))
                assertEquals(listOf("a6"), copy())
            },
            Row("an answer to a watch from before a stop is not applied") {
                mirror.start()
                store.answerList(5, item("a", 3))
                mirror.stop()
                mirror.start()
                store.answerWatch(6, written("a", 6))
                assertEquals(false, mirror.isLoaded)
                store.answerList(7, item("b", 7))
                assertEquals(listOf("b7"), copy())
            },
        )

    @TestFactory
    fun `a mirror of the store`() = rows.map { row -> DynamicTest.dynamicTest(row.name) { row.test(Scene()) } }
}
