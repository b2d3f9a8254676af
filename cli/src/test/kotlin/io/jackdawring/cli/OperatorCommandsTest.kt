package io.jackdawring.cli

import io.jackdawring.cli.client.ApiAnswer
import io.jackdawring.cli.client.ApiClient
import io.jackdawring.cli.client.ApiRequest
import io.jackdawring.cli.client.RealApiClient
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.configuration.Objective
import io.jackdawring.server.EntryServer
import io.jackdawring.server.TlsOptions
import io.jackdawring.server.burn.BurnHistory
import io.jackdawring.server.burn.BurnReport
import io.jackdawring.server.burn.BurnSource
import io.jackdawring.server.burn.BurnWindow
import io.jackdawring.server.burn.KindBurn
import io.jackdawring.server.burn.ObjectiveCounters
import io.jackdawring.server.burn.WindowBurn
import io.jackdawring.server.burn.parseBurnReport
import io.jackdawring.server.burn.toJson
import io.jackdawring.server.serverOptions
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class OperatorCommandsTest {
    @TempDir
    lateinit var directory: Path

    /** Report of an instance with [total] requests of one kind, [missed] of which missed their objective. */
    private fun report(
        total: Long,
        missed: Long,
    ): String {
        var seen = 0L
        val source =
            BurnSource {
                listOf(
                    ObjectiveCounters(
                        "orders",
                        "check",
                        1,
                        Objective(400, 99.0),
                        seen - seen * missed / total,
                        seen,
                    ),
                )
            }
        val history = BurnHistory(source)
        history.sample(0)
        seen = total
        return history.report(300_000).toJson()
    }

    private val requests = mutableListOf<ApiRequest>()

    private val operatorListeners =
        ApiClient { request ->
            requests += request
            when (request.address) {
                "127.0.0.1:1" -> ApiAnswer.Answered(200, report(100, 1))
                "127.0.0.1:2" -> ApiAnswer.Answered(200, report(300, 7))
                "127.0.0.1:3" -> ApiAnswer.Answered(200, "no report")
                "127.0.0.1:4" -> ApiAnswer.Answered(401, "")
                else -> ApiAnswer.NotSent("refused")
            }
        }

    private fun burn(vararg arguments: String) = runCli("burn", *arguments, client = operatorListeners)

    /** Guards against an objective evaluated on one instance only, and against flags without effect on the report. */
    @Test
    fun `burn prints the sum over all addresses in each form`() {
        val operators = arrayOf("--operator", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:1")
        val text = burn(*operators)
        assertEquals(ExitCode.OK, text.exitCode, text.err)
        assertContains(text.out, Regex("""orders/check +99\.0 % in 400 ms +2\.00 """))
        assertEquals(2, requests.size)
        val window =
            parseBurnReport(burn(*operators, "--json").out)
                .kinds
                .single()
                .windows
                .first()
        assertEquals(400L to 392L, window.total to window.good)
        val file = directory.resolve("burn.html")
        val html = burn(*operators, "--html", "$file")
        assertEquals(ExitCode.OK to "", html.exitCode to html.out)
        assertContains(file.readText(), "orders/check")
    }

    /** Guards against a report that cannot be read, and against a missing rate that looks like a rate of 0. */
    @Test
    fun `burn prints a column for each window`() {
        val objective = Objective(400, 99.9)

        fun window(
            window: BurnWindow,
            good: Long,
            total: Long,
            rate: Double?,
        ) = WindowBurn(window, window.lengthMillis, good, total, rate)
        val windows =
            listOf(
                window(BurnWindow.FIVE_MINUTES, 49, 72, null),
                window(BurnWindow.THIRTY_MINUTES, 0, 0, null),
                window(BurnWindow.ONE_HOUR, 72, 72, null),
                window(BurnWindow.SIX_HOURS, 0, 0, null),
                window(BurnWindow.THREE_DAYS, 0, 1_000, null),
            )
        val kind = KindBurn("orders", "k", 2, objective, windows, emptyList(), emptyList())

        fun burn(body: String) = runCli("burn", client = { ApiAnswer.Answered(200, body) })
        val out = burn(BurnReport(listOf(kind)).toJson()).out
        assertContains(out, Regex("class +kind +objective +5 min +30 min +1 h +6 h +3 d +alerts"))
        assertContains(out, Regex("2 orders/k +99\\.9 % in 400 ms +319\\.44 +- +0\\.00 +- +1000\\.00 +-\n"))
        assertContains(burn(BurnReport(emptyList()).toJson()).out, "No kind has an objective.")
        assertEquals(ExitCode.FAILED, burn("oops").exitCode)
    }

    /** Guards against a sum that silently omits an instance. */
    @Test
    fun `burn fails when one address gives no report`() {
        val file = directory.resolve("burn.html")
        val refused = burn("--operator", "127.0.0.1:1,127.0.0.1:9", "--html", "$file")
        assertEquals(ExitCode.UNREACHABLE to "", refused.exitCode to refused.out)
        assertContains(refused.err, "127.0.0.1:9 cannot be reached")
        assertFalse(file.exists())
        assertContains(burn("--operator", "127.0.0.1:4").err, "127.0.0.1:4 answered 401")
        assertEquals(ExitCode.FAILED, burn("--operator", "127.0.0.1:3").exitCode)
    }

    /** Guards against a token that is not sent, or that is printed. */
    @Test
    fun `the token is sent and never printed`() {
        val token = "0123456789abcdef"
        val environment = mapOf("JACKDAWRING_OPERATOR_TOKEN" to token)
        runCli("burn", "--operator", "127.0.0.1:1", environment = environment, client = operatorListeners)
        assertEquals(mapOf("Authorization" to "Bearer $token"), requests.single().headers)
        val settings = runCli("settings", environment = environment).out
        assertContains(settings, "operator-token")
        assertFalse(token in settings)
        val short = runCli("burn", "--operator-token", "short")
        assertEquals(ExitCode.USAGE, short.exitCode)
        assertFalse("'short'" in short.err)
    }

    private class Case(
        val message: String,
        val input: String,
        vararg val arguments: String,
    )

    /** Guards against usage errors that are reported as an internal fault. */
    @TestFactory
    fun `invalid values are usage errors`(): List<DynamicTest> {
        val job = """{"caller":"c"}"""
        return listOf(
            Case("--html: '/' cannot be written", "", "burn", "--operator", "127.0.0.1:1", "--html", "/"),
            Case("--operator: 'x' is not allowed", "", "status", "--operator", "x"),
            Case("the job has no field \"caller\"", """{"caller":["c"]}""", "submit", "--session"),
            Case("the job is not a JSON object", "[]", "submit"),
            Case("--id: 'a b' is not allowed", job, "submit", "--id", "a b"),
            Case("--tls-trusted: 'none.pem' is not allowed", job, "submit", "--tls-trusted", "none.pem"),
        ).map { case ->
            dynamicTest(case.message) {
                val run = runCli(*case.arguments, input = case.input, client = operatorListeners)
                assertEquals(ExitCode.USAGE, run.exitCode, run.err)
                assertContains(run.err, case.message)
                assertFalse("\tat " in run.err, "stack trace")
            }
        }
    }

    /** Guards against a fault that looks like a failed job, or whose cause is hidden in a stack trace. */
    @Test
    fun `an unexpected exception gives exit code 70 and one line`() {
        val failing = ApiClient { error("broken\nsecond line") }
        val run = runCli("status", client = failing)
        assertEquals(ExitCode.INTERNAL, run.exitCode)
        assertEquals(
            1,
            run.err
                .trim()
                .lines()
                .size,
            run.err,
        )
        assertContains(run.err, "jackdawring status: internal fault: java.lang.IllegalStateException: broken")
        val trace = runCli("status", environment = mapOf("JACKDAWRING_STACK_TRACE" to "true"), client = failing)
        assertEquals(ExitCode.INTERNAL, trace.exitCode)
        assertContains(trace.err, "\tat ")
    }

    private val tlsFiles = File("../server/src/test/resources/tls")

    /** Guards against TLS that is configured but not used, and against trust in unknown servers. */
    @Test
    fun `subcommands use TLS with servers whose certificates are signed by the given ones`() {
        val certificate = TlsOptions(File(tlsFiles, "instance.pem"), File(tlsFiles, "instance.key"))
        val token = "0123456789abcdef"
        val options =
            serverOptions(InstanceId("e1"), FailureDomainId("a")) {
                platformAddress = "127.0.0.1:1"
                allowRandomSessionKey = true
                operatorListen = "127.0.0.1:0"
                callerTls = certificate
                operatorTls = certificate
                operatorToken = token
            }
        val garbage = directory.resolve("garbage.pem").apply { writeText("garbage") }
        val client = RealApiClient()
        EntryServer.Default.start(options).use { server ->
            val status = arrayOf("status", "--operator", server.operatorAddress!!, "--operator-token", token)
            val trusted = arrayOf("--tls-trusted", "$tlsFiles/ca.pem")
            val answered = runCli(*status, *trusted, client = client)
            assertEquals(ExitCode.OK, answered.exitCode, answered.err)
            assertContains(answered.out, "e1 in a: not ready")
            val submit = arrayOf("submit", "--session", "--entry", server.callerAddress)
            val job = """{"caller":"c","service":"orders","kind":"k","tasks":[{"payload":1}]}"""
            val refused = runCli(*submit, *trusted, input = job, client = client)
            assertEquals(ExitCode.REFUSED, refused.exitCode, refused.err)
            assertEquals(ExitCode.UNREACHABLE, runCli(*status, client = client).exitCode)
            val other = arrayOf("--tls-trusted", "$tlsFiles/other-ca.pem")
            assertEquals(ExitCode.UNREACHABLE, runCli(*status, *other, client = client).exitCode)
            val unusable = runCli(*status, "--tls-trusted", "$garbage", client = client)
            assertEquals(ExitCode.USAGE, unusable.exitCode)
        }
    }
}
