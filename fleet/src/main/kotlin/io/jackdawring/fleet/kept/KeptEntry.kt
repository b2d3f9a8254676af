package io.jackdawring.fleet.kept

/** A stored job as its holder knows it; [revision] is that of its last known write. */
internal class KeptEntry(
    var record: KeptJobRecord,
    var revision: Long,
)
