package io.jackdawring.core.shard

/** On which targets runs of a step have succeeded, and on which they have failed or hung. */
internal class StepRecord {
    val doneTargets = HashSet<TrackedTarget>()
    val faultTargets = LinkedHashSet<TrackedTarget>()
}
