package io.jackdawring.server.burn

import io.jackdawring.core.configuration.Objective
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.w3c.dom.Element
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class BurnHistoryTest {
    private val interval = BurnHistory.FINE_INTERVAL_MILLIS

    /** Traffic of 10 requests per sample interval; [missesAt] maps a minute to how many of them miss. */
    private class Traffic(
        val missesAt: (Long) -> Int,
    ) : BurnSource {
        var good = 0L
        var total = 0L
        var kindName = "allergen-check"

        fun step(minute: Long) {
            total += 10
            good += 10 - missesAt(minute)
        }

        override fun counters() = listOf(ObjectiveCounters("orders", kindName, 1, Objective(400, 99.0), good, total))
    }

    private fun run(
        minutes: Long,
        traffic: Traffic,
    ): BurnHistory {
        val history = BurnHistory(traffic)
        for (nowMillis in 0..minutes * 60_000 step interval) {
            history.sample(nowMillis)
            if (nowMillis < minutes * 60_000) traffic.step(nowMillis / 60_000)
        }
        return history
    }

    private class Case(
        val name: String,
        val minutes: Long,
        val missesAt: (Long) -> Int,
        val alerts: List<BurnAlert>,
        val rates: Map<BurnWindow, Double?>,
    )

    private val days = 3 * 24 * 60L

    /** Guards against alerts for past misses, alerts that are late, and windows over the wrong time. */
    @TestFactory
    fun `alerts need both windows of a pair`(): List<DynamicTest> =
        listOf(
            Case("no misses", days, { 0 }, emptyList(), BurnWindow.entries.associateWith { 0.0 }),
            Case("young process, all misses", 10, { 10 }, BurnAlert.entries, mapOf(BurnWindow.THREE_DAYS to 100.0)),
            Case("long ago", days, { if (it < 60) 10 else 0 }, emptyList(), mapOf(BurnWindow.THREE_DAYS to 100.0 / 72)),
            Case(
                "the last hour at 20 %",
                days,
                { if (it >= days - 60) 2 else 0 },
                listOf(BurnAlert.FAST),
                mapOf(BurnWindow.FIVE_MINUTES to 20.0, BurnWindow.ONE_HOUR to 20.0, BurnWindow.SIX_HOURS to 20.0 / 6),
            ),
            Case(
                "always 10 %",
                days,
                { 1 },
                listOf(BurnAlert.SLOW, BurnAlert.STEADY),
                BurnWindow.entries.associateWith { 10.0 },
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val kind = run(case.minutes, Traffic(case.missesAt)).report(case.minutes * 60_000).kinds.single()
                assertEquals(case.alerts, kind.alerts)
                case.rates.forEach { (window, rate) ->
                    assertEquals(rate!!, kind.windows.first { it.window == window }.burnRate!!, 1e-9, window.label)
                }
            }
        }

    /** Guards against memory growth over time or from removed kinds. */
    @Test
    fun `the history is bounded and drops removed kinds`() {
        val traffic = Traffic { 1 }
        val history = run(2 * days, traffic)
        val before = history.report(2 * days * 60_000).kinds.single()
        assertEquals(433, before.history.size)
        assertEquals(BurnWindow.THREE_DAYS.lengthMillis, before.windows.last().coveredMillis)
        traffic.kindName = "renamed"
        history.sample(2 * days * 60_000 + interval)
        val after = history.report(2 * days * 60_000 + interval).kinds.single()
        assertEquals(emptyList(), after.history)
        assertEquals(listOf(null), after.windows.map { it.burnRate }.distinct())
    }

    /** Guards against a page that is malformed, loads external resources, or draws outside its area. */
    @Test
    fun `the HTML page is well-formed and its plot stays inside its area`() {
        val traffic = Traffic { if (it % 700 < 30) 7 else 0 }
        traffic.kindName = "a<b&\"c\""
        val report = run(days, traffic).report(days * 60_000)
        val html = report.toHtml()
        assertFalse(Regex("(src|href)=|url\\(|@import|<script").containsMatchIn(html))
        val text = html.substringAfter("<!DOCTYPE html>\n")
        val document = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(text.byteInputStream())
        val svg = document.getElementsByTagName("svg").item(0) as Element
        val labels = svg.getElementsByTagName("text")
        val rates = (0 until labels.length).mapNotNull { labels.item(it).textContent.toDoubleOrNull() }
        assertEquals(listOf(0.0, 20.0, 40.0, 60.0, 80.0), rates)
        val lines = svg.getElementsByTagName("polyline")
        assertEquals(1, lines.length)
        val points = (lines.item(0) as Element).getAttribute("points").split(' ').map { it.split(',') }
        assertEquals(432, points.size)
        assertTrue(points.all { it[0].toDouble() in 60.0..690.0 && it[1].toDouble() in 10.0..190.0 })
        assertTrue(points.zipWithNext().all { (a, b) -> a[0].toDouble() <= b[0].toDouble() })
        assertContains(report.toText(), Regex("""99\.0 % in 400 ms( +[0-9.]+){5} """))
        assertContains(report.toJson(), "\"window\":\"FIVE_MINUTES\"")
    }

    /** Guards against a gap in the traffic that is drawn as a rate of 0, and against a division by zero. */
    @Test
    fun `times without requests are gaps in the plot`() {
        val source = BurnSource { listOf(ObjectiveCounters("s", "k", 2, Objective(1, 99.0), 5, 5)) }
        val history = BurnHistory(source)
        for (nowMillis in 0..days * 60_000 step interval) history.sample(nowMillis)
        val report = history.report(days * 60_000)
        assertEquals(
            listOf(null),
            report.kinds
                .single()
                .windows
                .map { it.burnRate }
                .distinct(),
        )
        assertFalse("<polyline" in report.toHtml())
        assertContains(BurnReport(emptyList()).toHtml(), "No kind has an objective")
    }

    /** Guards against windows that are too short, or exceed their nominal length by more than a sample interval. */
    @Test
    fun `windows start at the last sample at or before their nominal start`() {
        val traffic = Traffic { 5 }
        val history = BurnHistory(traffic)
        var nowMillis = 0L
        history.sample(nowMillis)
        traffic.step(0)
        val fine = 1L
        val coarse = 20L
        val slack = BurnWindow.entries.associateWith { if (it.lengthMillis <= 1_800_000) fine else coarse }
        while (nowMillis < BurnWindow.THREE_DAYS.lengthMillis + 2 * coarse * interval) {
            nowMillis += interval
            history.sample(nowMillis)
            val windows =
                history
                    .report(nowMillis)
                    .kinds
                    .single()
                    .windows
            windows.forEach {
                val isInside = nowMillis < it.window.lengthMillis + slack.getValue(it.window) * interval
                val expected = if (isInside) 10L to 50.0 else 0L to null
                assertEquals(expected.first, it.total, "${it.window.label} after $nowMillis ms")
                assertEquals(expected.second, it.burnRate?.let(Math::rint), "${it.window.label} after $nowMillis ms")
            }
        }
    }

    /** Guards against an infinite rate, which JSON cannot express. */
    @Test
    fun `an objective of 100 percent has a finite rate`() {
        assertEquals(0.0, burnRate(5, 5, Objective(1, 100.0)))
        assertTrue(burnRate(4, 5, Objective(1, 100.0))!!.isFinite())
    }

    /** Guards against a sum that averages rates, drops an instance, or pairs points of different times. */
    @Test
    fun `reports of several instances are summed`() {
        val withoutMisses = run(60, Traffic { 0 }).report(3_600_000)
        val withMisses = run(120, Traffic { 4 }).report(7_200_000)
        val other = BurnReport(withoutMisses.kinds.map { it.copy(kind = "seating-update", priority = 3) })
        val merged = mergeBurnReports(listOf(withoutMisses, withMisses, other, BurnReport(emptyList())))
        assertEquals(listOf("allergen-check", "seating-update"), merged.kinds.map { it.kind })
        val kind = merged.kinds.first()
        val hour = kind.windows.first { it.window == BurnWindow.ONE_HOUR }
        assertEquals(2_400L to 1_920L, hour.total to hour.good)
        assertEquals(20.0, hour.burnRate!!, 1e-9)
        val threeDays = kind.windows.last()
        assertEquals(3_600L to 7_200_000L, threeDays.total to threeDays.coveredMillis)
        assertEquals(listOf(BurnAlert.FAST, BurnAlert.SLOW, BurnAlert.STEADY), kind.alerts)
        assertEquals(12, kind.history.size)
        assertEquals(listOf(40.0, 20.0), kind.history.mapNotNull { it.burnRate?.let(Math::rint) }.distinct())
        assertEquals(3_600L, kind.history.sumOf { it.total })
        assertEquals(merged, parseBurnReport(merged.toJson()))
        assertEquals(withoutMisses, mergeBurnReports(listOf(withoutMisses)))
    }
}
