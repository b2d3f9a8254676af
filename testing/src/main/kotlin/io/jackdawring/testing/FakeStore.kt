package io.jackdawring.testing

import io.jackdawring.core.StoreAnswer
import io.jackdawring.core.StoreCall

/** The platform's key-value store in memory: one revision counter for all keys. */
class FakeStore {
    private val entries = HashMap<String, Entry>()
    private var lastRevision = 0L

    /** Applies [call] at once; a watch answers like a read. */
    fun call(
        call: StoreCall,
        nowMillis: Long,
    ): StoreAnswer =
        when (call) {
            is StoreCall.Get -> read(call.key, nowMillis)
            is StoreCall.Watch -> read(call.key, nowMillis)
            is StoreCall.CompareAndSwap -> write(call, nowMillis)
        }

    private fun read(
        key: String,
        nowMillis: Long,
    ): StoreAnswer.Found {
        val entry = entry(key, nowMillis)
        return StoreAnswer.Found(entry?.value, entry?.revision ?: 0)
    }

    private fun write(
        call: StoreCall.CompareAndSwap,
        nowMillis: Long,
    ): StoreAnswer {
        val present = entry(call.key, nowMillis)
        val revision = present?.revision ?: 0
        if (revision != call.expectedRevision) return StoreAnswer.Conflict(present?.value, revision)
        val expiresAtMillis = call.leaseMillis?.let { nowMillis + it }
        entries[call.key] = Entry(call.value, ++lastRevision, expiresAtMillis)
        return StoreAnswer.Written(lastRevision)
    }

    private fun entry(
        key: String,
        nowMillis: Long,
    ): Entry? = entries[key]?.takeIf { it.expiresAtMillis == null || nowMillis < it.expiresAtMillis }

    private class Entry(
        val value: String,
        val revision: Long,
        val expiresAtMillis: Long?,
    )
}
