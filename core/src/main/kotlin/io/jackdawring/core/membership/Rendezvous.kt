package io.jackdawring.core.membership

import io.jackdawring.core.Owner
import java.nio.ByteBuffer
import java.security.MessageDigest

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
    return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())).long
}
