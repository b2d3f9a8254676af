package io.jackdawring.core

/** A call to the platform's key-value store. */
sealed interface StoreCall {
    /** Reads a key. */
    data class Get(
        val key: String,
    ) : StoreCall

    /** Reads a key once its revision exceeds [afterRevision], or after [waitMillis]. */
    data class Watch(
        val key: String,
        val afterRevision: Long,
        val waitMillis: Long,
    ) : StoreCall

    /**
     * Writes a key if its revision is [expectedRevision]; 0 means that the key must not exist.
     *
     * The key is deleted after [leaseMillis], null for a key without lease.
     */
    data class CompareAndSwap(
        val key: String,
        val value: String,
        val expectedRevision: Long,
        val leaseMillis: Long?,
    ) : StoreCall
}
