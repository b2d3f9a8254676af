package io.jackdawring.core.fleet

import io.jackdawring.core.InstanceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against jobs that are dropped because their holder was paused, and jobs that run on for a lost relay. */
class RelayContactsTest {
    private class Row(
        val pattern: String,
        val expectedSilent: Boolean,
        val atMillis: Long,
        val before: RelayFailureDetector.() -> Unit,
    )

    private val rows =
        listOf(
            Row("a relay that was heard lately", false, 600) { onHeartbeat(RELAY, 0) },
            Row("a relay that is silent", true, 700) { onHeartbeat(RELAY, 0) },
            Row("a relay that is silent is told once", false, 900) {
                onHeartbeat(RELAY, 0)
                takeFailed(800)
            },
            Row("the holder was paused and has not read the messages of its relays", false, 900) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 800)
            },
            Row("the holder was paused for longer than callers wait to send again", true, 1_300) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 1_250)
            },
            Row("the holder is paused again and again: a lost relay is still noticed in time", true, 1_000) {
                onHeartbeat(RELAY, 0)
                repeat(8) { onPaused(pausedMillis = 150) }
            },
            Row("the holder is paused again and again: a relay that goes on is kept", false, 2_000) {
                (0L..1_900L step 100).forEach {
                    onPaused(pausedMillis = 150)
                    onHeartbeat(RELAY, it)
                }
            },
            Row("a relay that stays silent after the pause", true, 1_000) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 800)
            },
        )

    @TestFactory
    fun `silence of a relay`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.pattern) {
                val contacts = RelayFailureDetector().apply(row.before)
                assertEquals(row.expectedSilent, RELAY in contacts.takeFailed(row.atMillis))
            }
        }

    private companion object {
        val RELAY = InstanceId("r")
    }
}
