package io.jackdawring.cli

import io.jackdawring.cli.settings.ResolvedSettings
import io.jackdawring.cli.settings.Setting
import io.jackdawring.cli.settings.SettingTable
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SettingsTest {
    private class Case(
        val setting: Setting,
        val value: String,
        val accepted: Boolean,
    )

    private val key = "ab".repeat(16)

    /** Guards against values that pass validation and fail later, and against off-by-one ranges. */
    @TestFactory
    fun `values are checked against the range`(): List<DynamicTest> =
        listOf(
            Case(SettingTable.instanceId, "e-1.a_B", true),
            Case(SettingTable.instanceId, "", false),
            Case(SettingTable.instanceId, "a".repeat(65), false),
            Case(SettingTable.listen, "127.0.0.1:0", true),
            Case(SettingTable.listen, "127.0.0.1:65536", false),
            Case(SettingTable.listen, "256.0.0.1:1", false),
            Case(SettingTable.listen, "localhost:80", false),
            Case(SettingTable.platform, "127.0.0.1:0", false),
            Case(SettingTable.peerAdvertise, "127.0.0.1:0", false),
            Case(SettingTable.peerSeeds, "127.0.0.1:1,127.0.0.1:65535", true),
            Case(SettingTable.peerSeeds, "127.0.0.1:1,", false),
            Case(SettingTable.eventLoopThreads, "1", true),
            Case(SettingTable.eventLoopThreads, "64", true),
            Case(SettingTable.eventLoopThreads, "0", false),
            Case(SettingTable.eventLoopThreads, "65", false),
            Case(SettingTable.eventLoopThreads, "2.0", false),
            Case(SettingTable.eventLoopThreads, "99999999999999999999", false),
            Case(SettingTable.targetPolicy, "round-robin", true),
            Case(SettingTable.targetPolicy, "Random", false),
            Case(SettingTable.sessionKeys, "k1:$key,k2:$key", true),
            Case(SettingTable.sessionKeys, "k1:$key,k1:$key", false),
            Case(SettingTable.sessionKeys, "k1:${key.drop(2)}", false),
            Case(SettingTable.sessionKeys, "k1:$key,", false),
        ).map { case ->
            dynamicTest("${case.setting.flag} '${case.value.take(40)}'") {
                val flags = mapOf(case.setting.name to case.value)
                val resolved = ResolvedSettings.resolve(listOf(case.setting), flags, emptyMap())
                assertEquals(case.accepted, resolved.isRight())
                resolved.onLeft {
                    assertContains(it.single(), case.setting.flag)
                    assertContains(it.single(), case.setting.type.range)
                }
            }
        }

    /** Guards against an environment that overrides a flag, and messages that do not name the invalid variable. */
    @Test
    fun `flags take precedence over the environment`() {
        val environment = mapOf("JACKDAWRING_MAX_CONNECTIONS" to "x")
        val environmentRun = runCli("settings", environment = environment)
        assertEquals(ExitCode.USAGE, environmentRun.exitCode)
        assertContains(environmentRun.err, "JACKDAWRING_MAX_CONNECTIONS (--max-connections): 'x'")
        val flagRun = runCli("settings", "--max-connections", "5", environment = environment)
        assertEquals(ExitCode.OK, flagRun.exitCode)
        assertTrue(Regex("max-connections +5 connections +flag").containsMatchIn(flagRun.out))
    }

    /** Guards against secrets in output and messages. */
    @Test
    fun `secrets are never printed`() {
        val secret = "5ec2e7".repeat(8)
        listOf("k1:$secret", "k 1:$secret").forEach { value ->
            listOf(arrayOf("settings"), arrayOf("settings", "--json"), arrayOf("serve")).forEach { line ->
                val run = runCli(*line, environment = mapOf("JACKDAWRING_SESSION_KEYS" to value))
                assertFalse("5ec2e7" in run.out + run.err, line.joinToString(" "))
            }
        }
    }

    /** Guards against a default outside its own range and against two settings with one name. */
    @Test
    fun `the table is consistent`() {
        SettingTable.all.forEach { setting ->
            assertTrue(setting.default?.let { setting.type.accepts(it) } ?: true, setting.name)
            assertFalse(setting.required && setting.default != null, setting.name)
        }
        assertEquals(SettingTable.all.size, SettingTable.all.distinctBy { it.name }.size)
    }
}
