package io.jackdawring.core.membership

import io.jackdawring.core.Owner
import io.jackdawring.core.sha256
import java.nio.ByteBuffer

/** Orders [candidates] for [key]: own failure domain first, then by rendezvous hash, highest first. */
internal fun rendezvousOrder(
    key: Owner,
    candidates: List<Owner>,
): List<Owner> =
    candidates.sortedWith(
        compareBy<Owner> { it.failureDomain != key.failureDomain }
            .thenByDescending { rendezvousScore(key, it) }
            .thenBy { it.instanceId.value },
    )

private fun rendezvousScore(
    key: Owner,
    candidate: Owner,
): Long {
    val text = "${key.instanceId.value}/${key.incarnation}/${candidate.instanceId.value}"
    return ByteBuffer.wrap(sha256(text)).long
}
