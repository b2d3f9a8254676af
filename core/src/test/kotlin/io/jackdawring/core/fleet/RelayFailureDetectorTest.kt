package io.jackdawring.core.fleet

import io.jackdawring.core.InstanceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against dropping jobs because the holder was paused, and against continuing the jobs of a failed relay. */
class RelayFailureDetectorTest {
    private class Row(
        val name: String,
        val expectedFailed: Boolean,
        val atMillis: Long,
        val before: RelayFailureDetector.() -> Unit,
    )

    private val rows =
        listOf(
            Row("a relay with a recent message", false, 600) { onHeartbeat(RELAY, 0) },
            Row("a silent relay", true, 700) { onHeartbeat(RELAY, 0) },
            Row("a failed relay is returned once", false, 900) {
                onHeartbeat(RELAY, 0)
                takeFailed(800)
            },
            Row("the holder was paused and has unread messages", false, 900) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 800)
            },
            Row("the holder was paused for longer than the resend time of callers", true, 1_300) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 1_250)
            },
            Row("the holder is paused repeatedly: a failed relay is still detected in time", true, 1_000) {
                onHeartbeat(RELAY, 0)
                repeat(8) { onPaused(pausedMillis = 150) }
            },
            Row("the holder is paused repeatedly: a relay that keeps sending does not fail", false, 2_000) {
                (0L..1_900L step 100).forEach {
                    onPaused(pausedMillis = 150)
                    onHeartbeat(RELAY, it)
                }
            },
            Row("a relay that stays silent after a pause of the holder", true, 1_000) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 800)
            },
        )

    @TestFactory
    fun `timeouts of a relay`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val detector = RelayFailureDetector().apply(row.before)
                assertEquals(row.expectedFailed, RELAY in detector.takeFailed(row.atMillis))
            }
        }

    private companion object {
        val RELAY = InstanceId("r")
    }
}
