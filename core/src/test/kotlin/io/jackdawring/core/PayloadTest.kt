package io.jackdawring.core

import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

class PayloadTest {
    /** Guards against payload bytes that change in messages between entry instances. */
    @Test
    fun `payloads are unchanged by the peer encoding`() {
        val cases = listOf("", "1", "\"a\\u00e9\\n\"", "{\"dish\":\"crème\",\"n\":[1,2]}")
        for (text in cases) {
            val payload = Payload.of(text)
            val decoded = Json.decodeFromString(PayloadSerializer, Json.encodeToString(PayloadSerializer, payload))
            assertEquals(payload, decoded, "payload $text")
        }
    }
}
