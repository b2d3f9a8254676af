package io.jackdawring.server.caller

import io.jackdawring.core.TaskSpec

/** The body of `POST /v1/jobs`. */
internal class JobRequest(
    val caller: String?,
    val service: String,
    val kind: String,
    val deadlineMillis: Long,
    val tasks: List<TaskSpec>,
    val fingerprint: String,
)
