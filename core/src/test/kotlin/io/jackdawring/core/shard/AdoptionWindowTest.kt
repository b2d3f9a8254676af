package io.jackdawring.core.shard

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against runs that are kept beyond their callers' return, counted from when they were found or handed over. */
class AdoptionWindowTest {
    private class Row(
        val name: String,
        val foundAtMillis: Long,
        /** Time at which the run is stopped. */
        val endsAtMillis: Long,
        /** Time from which the wait is counted; null if it is not known. */
        val servedAtMillis: Long?,
        /** Time since which callers may have gone when the run is found. */
        val openSinceMillis: Long? = servedAtMillis,
        val areJobsLoaded: Boolean = true,
        val play: Window.() -> Unit,
    )

    private class Window {
        val cutOff = CutOffHolders()
        val window = AdoptionWindow(shardOptions(), MAX_LEASE_MILLIS, cutOff)

        fun onPredecessorServed(
            atMillis: Long,
            madeAtMillis: Long = atMillis,
        ) = window.onPredecessorServed(atMillis, madeAtMillis)

        fun onCutOffHolderServed(atMillis: Long) {
            cutOff.onCutOff(CUT_OFF_TOKEN)
            onHolderStopped(CUT_OFF_TOKEN, atMillis)
        }

        fun onHolderStopped(
            holderToken: Long,
            atMillis: Long,
        ) = cutOff.onStopped(holderToken, HandOver.NONE, atMillis)
    }

    private val rows =
        listOf(
            Row("nothing is known: relays get a moment", 5_000, 5_150, null) {},
            Row("nothing is known, jobs not loaded: no stop", 5_000, Long.MAX_VALUE, null, areJobsLoaded = false) {},
            Row("found at once: callers' relays get their time", 5_000, 5_900, 5_000) { onPredecessorServed(5_000) },
            Row("found late: relays get a moment", 5_800, 5_950, 5_000) { onPredecessorServed(5_000) },
            Row("found very late: the stop arrives in time", 6_100, 6_150, 5_000) { onPredecessorServed(5_000) },
            Row("found after the last moment for a stop: at once", 6_200, 6_150, 5_000) { onPredecessorServed(5_000) },
            Row("found when callers may be back: at once", 6_300, 6_150, 5_000, null) { onPredecessorServed(5_000) },
            Row("jobs not loaded: kept for as long as possible", 5_000, 6_150, 5_000, areJobsLoaded = false) {
                onPredecessorServed(5_000)
            },
            Row("a second report is older than the first one", 5_000, 5_900, 5_000) {
                onPredecessorServed(5_000)
                onPredecessorServed(4_000)
            },
            Row("a second report is newer than the first one", 5_000, 5_900, 5_000) {
                onPredecessorServed(4_000)
                onPredecessorServed(5_000)
            },
            Row("a holder that was cut off has stopped serving earlier", 5_000, 5_500, 4_600) {
                onPredecessorServed(5_000)
                onCutOffHolderServed(4_600)
            },
            Row("a holder that was cut off has stopped serving later", 5_000, 5_500, 4_600) {
                onPredecessorServed(4_600)
                onCutOffHolderServed(5_000)
            },
            Row("a holder that was cut off has no runs any more", 5_000, 5_900, 5_000) {
                onPredecessorServed(5_000)
                onCutOffHolderServed(3_700)
            },
            Row("a holder that was cut off may just still have runs: at once", 5_000, 4_851, 3_701) {
                onPredecessorServed(5_000)
                onCutOffHolderServed(3_701)
            },
            Row("several holders were cut off", 5_000, 5_200, 4_300) {
                listOf(4_900L, 4_300, 4_600).forEach(::onCutOffHolderServed)
            },
            Row("more holders were cut off than are kept: the oldest is forgotten", 5_000, 5_500, 4_600) {
                onCutOffHolderServed(4_500)
                repeat(16) { onCutOffHolderServed(4_600L + it) }
            },
            Row("a stopped holder that was never cut off, and is covered by the predecessor", 5_000, 5_900, 5_000) {
                onPredecessorServed(5_000)
                onHolderStopped(holderToken = 3, atMillis = 4_600)
            },
            Row(
                "the predecessor knew of a holder that is cut off: as if nothing was known",
                5_000,
                5_150,
                null,
                5_000,
            ) {
                onPredecessorServed(5_000)
                cutOff.onCutOff(CUT_OFF_TOKEN)
                window.mayOthersBeCutOff = true
            },
            Row("its runs may last after its callers are back, until the lease ends: at once", 5_500, 5_150, 4_000) {
                onPredecessorServed(4_000, madeAtMillis = 4_900)
            },
            Row("all reports are too old: from the latest one", 9_000, 6_150, 5_000, null) {
                onPredecessorServed(4_000)
                onCutOffHolderServed(5_000)
            },
        )

    @TestFactory
    fun `until when a run waits for its job`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) {
                val window = Window().apply(row.play).window
                assertEquals(row.endsAtMillis, window.endsAtMillis(row.foundAtMillis, row.areJobsLoaded), "stop")
                assertEquals(row.servedAtMillis, window.servedAtMillis(row.foundAtMillis), "served")
                assertEquals(row.openSinceMillis, window.openSinceMillis(row.foundAtMillis), "open since")
            }
        }

    /** Guards against a stop, or a lease that ends instead of it, which comes too late for the caller's next try. */
    @TestFactory
    fun `the stop and the lease end before the caller sends the job again`() =
        listOf(0L, 50, 150, 400, 750, 850, 900, 1_000, 1_100, 1_150, 1_200, 1_250, 1_299).flatMap { foundAfterMillis ->
            listOf(true, false).map { areJobsLoaded ->
                val name = "found after $foundAfterMillis ms, jobs loaded: $areJobsLoaded"
                DynamicTest.dynamicTest(name) {
                    val options = shardOptions()
                    val window = Window()
                    val servedAtMillis = 5_000L
                    window.onPredecessorServed(servedAtMillis)
                    val foundAtMillis = servedAtMillis + foundAfterMillis
                    val backAtMillis = servedAtMillis + options.resendAfterMillis
                    val endsAtMillis = window.window.endsAtMillis(foundAtMillis, areJobsLoaded)
                    assertEquals(true, endsAtMillis + options.stopMillis < backAtMillis, "stop at $endsAtMillis")
                    // The limit includes the drift of the target's clock, the stop and a margin, as every lease does.
                    val limitMillis = window.window.leaseEndsAtMillis(foundAtMillis)
                    assertEquals(backAtMillis + options.stopMillis, limitMillis, "end of the lease")
                }
            }
        }

    private companion object {
        const val MAX_LEASE_MILLIS = 1_130L
        const val CUT_OFF_TOKEN = 2L
    }
}
