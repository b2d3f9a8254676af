package io.jackdawring.testing

import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall
import kotlin.test.Test
import kotlin.test.assertEquals

class FakeStoreTest {
    /** Guards against a fake that hides faults of the platform's store; every test with faults relies on it. */
    @Test
    fun `effects, answers and faults follow the platform's protocol`() {
        class Case(
            val name: String,
            val expected: List<StoreAnswer>,
            val finalValue: String?,
            val steps: FakeStore.(StoreCall, (StoreCall) -> Unit) -> Unit,
        )
        val answers = ArrayList<StoreAnswer>()
        val create = StoreCall.CompareAndSwap("k", "a", 0, null)
        val cases =
            listOf(
                Case("create twice", listOf(StoreAnswer.Written(1), StoreAnswer.Conflict("a", 1)), "a") { write, call ->
                    call(write)
                    call(write)
                },
                Case(
                    "swap at a revision",
                    listOf(StoreAnswer.Written(1), StoreAnswer.Written(2), StoreAnswer.Conflict("b", 2)),
                    "b",
                ) { write, call ->
                    call(write)
                    repeat(2) { call(StoreCall.CompareAndSwap("k", "b", 1, null)) }
                },
                Case("down", listOf(StoreAnswer.Unavailable(false)), null) { write, call ->
                    down = true
                    call(write)
                },
                Case("reply lost after the effect", listOf(StoreAnswer.Unavailable(true)), "a") { write, call ->
                    losesReply = { true }
                    call(write)
                    advanceTo(1_000)
                },
                Case(
                    "effect after the caller's time limit",
                    listOf(StoreAnswer.Unavailable(true), StoreAnswer.Found(null, 0)),
                    "a",
                ) { write, call ->
                    delayMillis = 2_000
                    call(write)
                    advanceTo(1_500)
                    delayMillis = 0
                    call(StoreCall.Get("k"))
                    advanceTo(2_000)
                },
                Case(
                    "lease",
                    listOf(StoreAnswer.Written(1), StoreAnswer.Found("a", 1), StoreAnswer.Found(null, 2)),
                    null,
                ) { _, call ->
                    call(StoreCall.CompareAndSwap("k", "a", 0, 500))
                    advanceTo(499)
                    call(StoreCall.Get("k"))
                    advanceTo(500)
                    call(StoreCall.Get("k"))
                },
                Case(
                    "watch until a change",
                    listOf(StoreAnswer.Written(1), StoreAnswer.Found("a", 1)),
                    "a",
                ) { write, call ->
                    call(StoreCall.Watch("k", 0, 1_000))
                    call(write)
                    advanceTo(5_000)
                },
                Case("watch without a change", listOf(StoreAnswer.Found(null, 0)), null) { _, call ->
                    call(StoreCall.Watch("k", 0, 1_000))
                    advanceTo(999)
                    advanceTo(1_000)
                },
            )
        for (case in cases) {
            val store = FakeStore()
            answers.clear()
            case.steps(store, create) { store.call(it) { answer -> answers += answer } }
            assertEquals(case.expected, answers, case.name)
            assertEquals(case.finalValue, store.value("k"), case.name)
        }
    }
}
