package io.jackdawring.server.caller

import io.jackdawring.core.TaskSpec
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/**
 * SHA-256 over everything that determines what runs, truncated to 128 bits, in hexadecimal.
 *
 * The deadline is left out, because a resubmission usually has less time left. Every part is preceded by its length,
 * so that different jobs never give the same input to the hash.
 */
internal fun fingerprintOf(
    service: String,
    kind: String,
    tasks: List<TaskSpec>,
): String {
    val digest = MessageDigest.getInstance("SHA-256")
    val header = ByteBuffer.allocate(TASK_HEADER_BYTES)
    listOf(service, kind).forEach { name ->
        val bytes = name.encodeToByteArray()
        digest.update(header.clear().putInt(bytes.size).flip())
        digest.update(bytes)
    }
    for (task in tasks) {
        header.clear()
        header.putInt(task.payload.bytes.size).putLong(task.expectedMillis ?: -1)
        digest.update(header.putInt(task.memoryMb).putInt(task.accelerators).flip())
        digest.update(task.payload.bytes)
    }
    return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES)
}

private const val TASK_HEADER_BYTES = 20
private const val FINGERPRINT_BYTES = 16
