package io.jackdawring.core

/** Answer to a [StoreCall]. */
sealed interface StoreAnswer {
    /** Value of a key; [value] is null if the key does not exist. */
    data class Found(
        val value: String?,
        val revision: Long,
    ) : StoreAnswer

    /** The write took effect. */
    data class Written(
        val revision: Long,
    ) : StoreAnswer

    /** The compare-and-swap did not take effect; [value] is the present value, null if the key does not exist. */
    data class Conflict(
        val value: String?,
        val revision: Long,
    ) : StoreAnswer

    /** No answer; a write may have taken effect if [mayHaveApplied]. */
    data class Unavailable(
        val mayHaveApplied: Boolean,
    ) : StoreAnswer
}
