package io.jackdawring.standins

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Guards against a stand-in that deviates from the platform's protocol, which would hide faults of clients. */
class StandInPlatformTest {
    /** A call with the expected status and body; status 0 means waiting, -1 closed without a response. */
    private class Step(
        val requestLine: String,
        val body: String,
        val status: Int,
        val answer: String? = null,
    )

    private fun step(
        requestLine: String,
        status: Int,
        answer: String? = null,
        body: String = "",
    ) = Step(requestLine, body, status, answer)

    private fun put(
        value: String,
        status: Int,
        answer: String? = null,
        expected: Long? = null,
        leaseMillis: Long? = null,
    ) = Step(
        "PUT /kv/a/b",
        """{"value":"$value","expectedRevision":$expected,"leaseMillis":$leaseMillis}""",
        status,
        answer,
    )

    private val absent = step("GET /kv/a/b", 404, """{"revision":0}""")

    private val cases =
        mapOf(
            "a first write with expected revision 0 wins, a second one conflicts" to
                listOf(
                    absent,
                    put("x", 200, """{"revision":1}""", expected = 0),
                    put("y", 412, """{"value":"x","revision":1}""", expected = 0),
                    step("GET /kv/a/b", 200, """{"value":"x","revision":1}"""),
                ),
            "a write with an outdated revision conflicts" to
                listOf(put("x", 200), put("y", 200, expected = 1), put("z", 412, expected = 1)),
            "a deleted key can be created again" to
                listOf(
                    put("x", 200),
                    step("DELETE /kv/a/b?expectedRevision=9", 412),
                    step("DELETE /kv/a/b?expectedRevision=1", 200, """{"revision":2}"""),
                    step("GET /kv/a/b", 404, """{"revision":2}"""),
                    put("y", 200, """{"revision":3}""", expected = 0),
                ),
            "a listing has the keys of a prefix only" to
                listOf(
                    put("x", 200),
                    step("GET /kv?prefix=a/", 200, """{"entries":[{"key":"a/b","value":"x","revision":1}]}"""),
                    step("GET /kv?prefix=b", 200, """{"entries":[]}"""),
                ),
            "an invalid body and an unknown fault are refused" to
                listOf(
                    step("PUT /kv/a/b", 400, body = "{}"),
                    step("PUT /faults", 400, body = """{"dwon":true}"""),
                    absent,
                ),
            "an outage closes connections and ends" to
                listOf(
                    step("PUT /faults", 200, body = """{"down":true}"""),
                    step("GET /kv/a/b", -1),
                    step("GET /instances", -1),
                    step("PUT /faults", 200, body = "{}"),
                    absent,
                ),
            "an outage can answer 503" to
                listOf(
                    step("PUT /faults", 200, body = """{"down":true,"downMode":"503"}"""),
                    step("GET /kv/a/b", 503),
                ),
            "a lost reply leaves the write in force" to
                listOf(
                    step("PUT /faults", 200, body = """{"loseReplyPercent":100}"""),
                    put("x", -1, expected = 0),
                    step("GET /kv/a/b", 200, """{"value":"x","revision":1}"""),
                ),
            "writes over the cap are refused and reads are not" to
                listOf(
                    step("PUT /faults", 200, body = """{"maxWritesPerSecond":1}"""),
                    put("x", 200),
                    put("y", 429),
                    step("GET /kv/a/b", 200),
                ),
        )

    @TestFactory
    fun answers() =
        cases.map { (name, steps) ->
            DynamicTest.dynamicTest(name) {
                val http = FakeHttp()
                RealStandInPlatform(standInPlatformOptions(), http, FakeTimers())
                steps.forEach { step ->
                    val exchange = http.call(step.requestLine, step.body)
                    assertEquals(step.status, exchange.status, step.requestLine)
                    step.answer?.let { assertEquals(it, exchange.body, step.requestLine) }
                }
            }
        }

    /** Causes that complete a watch of key `a/b` at revision 1, with the resulting status. */
    private val causes =
        listOf<Triple<String, Int, (FakeHttp, FakeTimers) -> Unit>>(
            Triple("a write", 200) { http, _ -> http.call("PUT /kv/a/b", """{"value":"y"}""") },
            Triple("a deletion", 404) { http, _ -> http.call("DELETE /kv/a/b") },
            Triple("the end of the lease", 404) { _, timers -> timers.advance(500) },
            Triple("an outage", -1) { http, _ -> http.call("PUT /faults", """{"down":true}""") },
            Triple("an outage with answers", 503) { http, _ ->
                http.call("PUT /faults", """{"down":true,"downMode":"503"}""")
            },
        )

    @TestFactory
    fun `a watch waits for a change`() =
        causes.map { (name, status, cause) ->
            DynamicTest.dynamicTest(name) {
                val http = FakeHttp()
                val timers = FakeTimers()
                val platform = RealStandInPlatform(standInPlatformOptions(), http, timers)
                http.call("PUT /kv/a/b", """{"value":"x","leaseMillis":500}""")
                val watch = http.call("GET /kv/a/b?afterRevision=1&waitMillis=30000")
                http.call("PUT /kv/other", """{"value":"x"}""")
                assertEquals(0 to 1, watch.status to platform.counts().waitingWatches)
                cause(http, timers)
                assertEquals(status to 0, watch.status to platform.counts().waitingWatches)
            }
        }

    @TestFactory
    fun `a watch ends without a change`() =
        listOf<Pair<String, (FakeTimers, FakeExchange) -> Unit>>(
            "at its time limit" to { timers, _ -> timers.advance(300) },
            "when the client closes" to { _, watch -> watch.disconnectClient() },
        ).flatMap { (name, end) ->
            listOf("/kv/a?afterRevision=0", "/instances?afterVersion=0").map { path ->
                DynamicTest.dynamicTest("$path $name") {
                    val http = FakeHttp()
                    val timers = FakeTimers()
                    val platform = RealStandInPlatform(standInPlatformOptions(), http, timers)
                    val watch = http.call("GET $path&waitMillis=300")
                    assertEquals(0 to 1, watch.status to platform.counts().waitingWatches)
                    end(timers, watch)
                    assertEquals(0, platform.counts().waitingWatches)
                }
            }
        }

    private val target = """{"id":"t1","role":"target","failureDomain":"a","address":"127.0.0.1:7001"}"""

    /** Calls with virtual time in between, and the expected version and state of target t1 in the list. */
    private val listCases =
        listOf<Triple<String, String, (FakeHttp, FakeTimers) -> Unit>>(
            Triple("a registration", "1 live") { _, _ -> },
            Triple("a renewal does not change the version", "1 live") { http, timers ->
                repeat(3) {
                    timers.advance(900)
                    http.call("POST /instances?leaseMillis=1000", target)
                }
            },
            Triple("a lease ends", "2 absent") { _, timers -> timers.advance(1_000) },
            Triple("a lease outlives an outage", "1 live") { http, timers ->
                http.call("PUT /faults", """{"down":true}""")
                timers.advance(5_000)
                http.call("PUT /faults", "{}")
                timers.advance(900)
            },
            Triple("a renewal keeps the leaving state", "2 leaving") { http, _ ->
                http.call("PATCH /instances/t1", """{"state":"leaving"}""")
                http.call("POST /instances?leaseMillis=1000", target)
            },
            Triple("a removal", "2 absent") { http, _ -> http.call("DELETE /instances/t1") },
            Triple("a lagging list is outdated", "1 live") { http, timers ->
                http.call("PUT /faults", """{"listLagMillis":500}""")
                http.call("DELETE /instances/t1")
                timers.advance(499)
            },
            Triple("a lagging list catches up", "2 absent") { http, timers ->
                http.call("PUT /faults", """{"listLagMillis":500}""")
                http.call("DELETE /instances/t1")
                timers.advance(500)
            },
        )

    @TestFactory
    fun `instance list`() =
        listCases.map { (name, expected, act) ->
            DynamicTest.dynamicTest(name) {
                val http = FakeHttp()
                val timers = FakeTimers()
                RealStandInPlatform(standInPlatformOptions(), http, timers)
                val watch = http.call("GET /instances?afterVersion=0&waitMillis=30000")
                http.call("POST /instances?leaseMillis=1000", target)
                assertEquals(200, watch.status)
                act(http, timers)
                val list = http.call("GET /instances").body
                val version = Regex("\"version\":(\\d+)").find(list)?.groupValues?.get(1)
                val state = Regex("\"state\":\"(\\w+)\"").find(list)?.groupValues?.get(1) ?: "absent"
                assertEquals(expected, "$version $state", list)
            }
        }

    @TestFactory
    fun `calls are counted by kind`() =
        listOf(
            PlatformCounts(reads = 2, writes = 1, instanceReads = 1, instanceWrites = 1) to "{}",
            PlatformCounts(reads = 2, writes = 1, instanceReads = 1, instanceWrites = 1, callsWhileDown = 5) to
                """{"down":true}""",
        ).map { (expected, faults) ->
            DynamicTest.dynamicTest(faults) {
                val http = FakeHttp()
                val platform = RealStandInPlatform(standInPlatformOptions(), http, FakeTimers())
                http.call("PUT /faults", faults)
                http.call("GET /kv/a")
                http.call("GET /kv?prefix=a")
                http.call("PUT /kv/a", """{"value":"x"}""")
                http.call("GET /instances")
                http.call("POST /instances", target)
                assertEquals(expected, platform.counts())
            }
        }
}
