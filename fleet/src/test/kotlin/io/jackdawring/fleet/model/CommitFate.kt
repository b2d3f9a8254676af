package io.jackdawring.fleet.model

/** What happens to a commit that reaches a [FakeFleetStore]. */
internal enum class CommitFate {
    ANSWERED,

    /** It is applied, and its answer never arrives. */
    ANSWER_LOST,

    /** It is applied, and its answer arrives late. */
    ANSWER_LATE,

    /** It is applied seconds later, without an answer. */
    APPLIED_LATE,
}
