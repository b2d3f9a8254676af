package io.jackdawring.core

import kotlinx.serialization.Serializable

/** Identifies a caller; chosen by the caller, 1 to 64 characters. */
@JvmInline
@Serializable
value class CallerId(
    val value: String,
)

/** Identifies an entry instance; comes from its settings and survives restarts. */
@JvmInline
@Serializable
value class InstanceId(
    val value: String,
)

/** Identifies a target; comes from the platform's instance list. */
@JvmInline
@Serializable
value class TargetId(
    val value: String,
)

/** Identifies a failure domain; comes from settings and the platform's instance list. */
@JvmInline
@Serializable
value class FailureDomainId(
    val value: String,
)

/** Identifies a session within the incarnation of the entry instance that owns it. */
@JvmInline
@Serializable
value class SessionId(
    val value: String,
)

/** Identifies a submission within its session or, without a session, within its caller. */
@JvmInline
@Serializable
value class SubmissionId(
    val value: String,
)

/** Identifies one open request of a caller at this process. */
@JvmInline
@Serializable
value class RequestId(
    val value: Long,
)

/** Identifies one start of one task by this process. */
@JvmInline
value class AttemptId(
    val value: Long,
)

/** Identifies one call to the platform's store by this process. */
@JvmInline
value class OperationId(
    val value: Long,
)
