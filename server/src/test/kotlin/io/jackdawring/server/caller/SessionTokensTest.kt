package io.jackdawring.server.caller

import io.jackdawring.core.CallerId
import io.jackdawring.core.FailureDomainId
import io.jackdawring.core.InstanceId
import io.jackdawring.core.Owner
import io.jackdawring.core.SessionClaims
import io.jackdawring.core.SessionId
import io.jackdawring.server.SessionKey
import io.jackdawring.server.caller.SessionTokens.Verification
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs

/** Guards against forged tokens and against sessions that end when keys are replaced. */
class SessionTokensTest {
    private val old = SessionKey("old", ByteArray(32) { 1 })
    private val new = SessionKey("new", ByteArray(32) { 2 })
    private val owner = Owner(InstanceId("e1"), 5, "127.0.0.1:1", FailureDomainId("a"))
    private val claims = SessionClaims(SessionId("s"), CallerId("c"), owner)

    @Test
    fun `every configured key verifies`() {
        val token = SessionTokens(listOf(old)).sign(claims)
        assertEquals(claims, assertIs<Verification.Valid>(SessionTokens(listOf(new, old)).verify(token)).claims)
        assertIs<Verification.UnknownKey>(SessionTokens(listOf(new)).verify(token))
    }

    @Test
    fun `a token with a changed character is invalid`() {
        val tokens = SessionTokens(listOf(old))
        val token = tokens.sign(claims)
        // The last character of the signature carries unused bits, which decoding may ignore.
        for (index in 0 until token.length - 1) {
            val changed = token.replaceRange(index, index + 1, if (token[index] == 'A') "B" else "A")
            check(tokens.verify(changed) !is Verification.Valid) { "accepted a change at $index" }
        }
        listOf("", "....", "v1.old..", "v1.old.a.b.c", "é", "x".repeat(5_000)).forEach {
            check(tokens.verify(it) !is Verification.Valid) { "accepted \"$it\"" }
        }
    }

    @Test
    fun `weak or ambiguous keys are rejected at start`() {
        assertFailsWith<IllegalArgumentException> { SessionTokens(listOf(SessionKey("a", ByteArray(8)))) }
        assertFailsWith<IllegalArgumentException> { SessionTokens(listOf(old, SessionKey("old", ByteArray(32)))) }
        assertFailsWith<IllegalArgumentException> { SessionTokens(listOf(SessionKey("a.b", ByteArray(32)))) }
    }
}
