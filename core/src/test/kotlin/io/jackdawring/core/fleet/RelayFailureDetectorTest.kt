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
                onPaused(pausedMillis = 800, nowMillis = 800)
            },
            Row("the holder was paused for longer than the resend time of callers", true, 1_300) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 1_250, nowMillis = 1_250)
            },
            Row("the holder is paused repeatedly: a failed relay is still detected in time", true, 1_000) {
                onHeartbeat(RELAY, 0)
                repeat(8) { onPaused(pausedMillis = 150, nowMillis = 150L * it) }
            },
            Row("the holder is paused repeatedly: a relay that keeps sending does not fail", false, 2_000) {
                (0L..1_900L step 100).forEach {
                    onPaused(pausedMillis = 150, nowMillis = it)
                    onHeartbeat(RELAY, it)
                }
            },
            Row("a relay that stays silent after a pause of the holder", true, 1_000) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 800, nowMillis = 800)
            },
            Row("a message arrives long after it was sent", true, 700) {
                onHeartbeat(RELAY, 0)
                onMessage(sentAtMillis = 0, arrivedAtMillis = 600)
            },
            Row("a message that was sent a while ago counts from then", false, 999) {
                onHeartbeat(RELAY, 0)
                onMessage(sentAtMillis = 300, arrivedAtMillis = 600)
            },
            Row("a message that was sent a while ago does not count for longer", true, 1_000) {
                onHeartbeat(RELAY, 0)
                onMessage(sentAtMillis = 300, arrivedAtMillis = 600)
            },
            Row("messages are overtaken", false, 999) {
                onMessage(sentAtMillis = 300, arrivedAtMillis = 350)
                onMessage(sentAtMillis = 100, arrivedAtMillis = 600)
            },
            Row("the first message of a relay arrives when it has been silent for long", true, 900) {
                onMessage(sentAtMillis = 100, arrivedAtMillis = 900)
            },
            Row("a message from the pause is read after it, newer ones may follow", false, 950) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 800, nowMillis = 800)
                onMessage(sentAtMillis = 100, arrivedAtMillis = 801)
            },
            Row("a message from the pause is read after it, and no newer one follows", true, 1_100) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 800, nowMillis = 800)
                onMessage(sentAtMillis = 100, arrivedAtMillis = 801)
            },
            Row("a message from after the pause ends the allowance", true, 1_520) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 800, nowMillis = 800)
                onMessage(sentAtMillis = 820, arrivedAtMillis = 830)
            },
            Row("a message from before a pause that is read after it ends no allowance", false, 900) {
                onHeartbeat(RELAY, 0)
                onPaused(pausedMillis = 300, nowMillis = 500)
                onMessage(sentAtMillis = 150, arrivedAtMillis = 501)
            },
        )

    /** A message counts from its sending, whenever it arrives. */
    private fun RelayFailureDetector.onMessage(
        sentAtMillis: Long,
        arrivedAtMillis: Long,
    ) {
        check(sentAtMillis <= arrivedAtMillis)
        onHeartbeat(RELAY, sentAtMillis)
    }

    /** Guards against jobs whose silent relay is said to have been heard of when its last message was read. */
    @TestFactory
    fun `a failed relay is reported with the time at which it sent its last message`() =
        listOf(0L, 100, 250, 500).map { sentAtMillis ->
            DynamicTest.dynamicTest("sent at $sentAtMillis, arrived at 600") {
                val detector = RelayFailureDetector()
                detector.onHeartbeat(RELAY, 0)
                detector.onMessage(sentAtMillis, arrivedAtMillis = 600)
                assertEquals(sentAtMillis, detector.lastSentMillis(RELAY))
                assertEquals(mapOf(RELAY to sentAtMillis), detector.takeFailed(sentAtMillis + 700))
                assertEquals(null, detector.lastSentMillis(RELAY))
            }
        }

    /** Guards against pauses of the holder that let the jobs of a failed relay run until callers send them again. */
    @TestFactory
    fun `a silent relay is given up in time for its jobs to end`() =
        listOf(0L, 100, 300, 400, 600, 800, 950).flatMap { pausedMillis ->
            listOf(0L, 50, 140).map { lateMillis ->
                DynamicTest.dynamicTest("a pause of $pausedMillis ms, the last message is read $lateMillis ms later") {
                    val detector = RelayFailureDetector()
                    detector.onHeartbeat(RELAY, 0)
                    if (pausedMillis > 0) detector.onPaused(pausedMillis, nowMillis = pausedMillis)
                    detector.onMessage(sentAtMillis = 0, arrivedAtMillis = pausedMillis + lateMillis)
                    // The caller may have gone just after the last message, and a round and the stop follow.
                    assertEquals(setOf(RELAY), detector.takeFailed(LATEST_MILLIS).keys)
                }
            }
        }

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

        /** Leaves a round of 150 ms and a stop of 100 ms before callers send a job again. */
        const val LATEST_MILLIS = 1_050L
    }
}
