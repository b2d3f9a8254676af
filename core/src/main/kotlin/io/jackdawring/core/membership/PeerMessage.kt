package io.jackdawring.core.membership

import io.jackdawring.core.Credential
import io.jackdawring.core.InstanceId
import io.jackdawring.core.Outcome
import io.jackdawring.core.Owner
import io.jackdawring.core.SubmissionId
import io.jackdawring.core.TargetId
import io.jackdawring.core.TaskSpec
import io.jackdawring.core.configuration.ConfigurationHead
import io.jackdawring.core.configuration.TeamDocument
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A one-way message between entry instances. */
@Serializable
sealed interface PeerMessage {
    /** The incarnation that sent the message. */
    val sender: Owner

    /** Periodic exchange of membership and target facts; the receiver answers with [DigestReply]. */
    @Serializable
    @SerialName("digest")
    data class Digest(
        override val sender: Owner,
        val members: List<MemberFact>,
        val targets: List<TargetFact>,
        @SerialName("beats")
        @Serializable(with = HeartbeatListSerializer::class)
        val heartbeats: List<Heartbeat> = emptyList(),
    ) : PeerMessage

    /** Answer to [Digest]; the receiver does not answer it. */
    @Serializable
    @SerialName("digestReply")
    data class DigestReply(
        override val sender: Owner,
        val members: List<MemberFact>,
        val targets: List<TargetFact>,
        @SerialName("beats")
        @Serializable(with = HeartbeatListSerializer::class)
        val heartbeats: List<Heartbeat> = emptyList(),
    ) : PeerMessage

    /** Asks the owner of a submission for its outcome; [correlation] is unique per sender incarnation. */
    @Serializable
    @SerialName("forwardSubmission")
    data class ForwardSubmission(
        override val sender: Owner,
        val correlation: Long,
        val id: SubmissionId,
        val credential: Credential,
        val service: String,
        val kind: String,
        val deadlineMillis: Long,
        val fingerprint: String,
        val tasks: List<TaskSpec>,
    ) : PeerMessage

    /** Outcome of a [ForwardSubmission]. */
    @Serializable
    @SerialName("forwardAnswer")
    data class ForwardAnswer(
        override val sender: Owner,
        val correlation: Long,
        val outcome: Outcome,
    ) : PeerMessage

    /** Asks the owner of a submission to cancel it. */
    @Serializable
    @SerialName("forwardCancel")
    data class ForwardCancel(
        override val sender: Owner,
        val id: SubmissionId,
        val credential: Credential,
    ) : PeerMessage

    /**
     * Finished records of [owner], sent by the draining instance that holds them, in [batches] messages.
     *
     * The receiver answers resubmissions from them and starts nothing for them. [openScopes] maps each scope whose
     * records are all in the batches to the time in milliseconds for which it must be kept.
     */
    @Serializable
    @SerialName("handOver")
    data class HandOver(
        override val sender: Owner,
        val owner: Owner,
        val batch: Int,
        val batches: Int,
        val openScopes: Map<String, Long>,
        val records: List<HandedOverRecord>,
    ) : PeerMessage

    /** Requests a configuration newer than [haveVersion]; [haveDocuments] maps teams to the hashes already held. */
    @Serializable
    @SerialName("configurationRequest")
    data class ConfigurationRequest(
        override val sender: Owner,
        val haveVersion: Long,
        val haveDocuments: Map<String, String>,
    ) : PeerMessage

    /** A configuration head with the documents that the requester lacks. */
    @Serializable
    @SerialName("configurationOffer")
    data class ConfigurationOffer(
        override val sender: Owner,
        val head: ConfigurationHead,
        val documents: List<TeamDocument>,
    ) : PeerMessage
}

/**
 * Gossiped state of a member; a fact replaces another only if (incarnation, heartbeat) is higher.
 *
 * [successorIncarnation] is the incarnation of [succeededBy] that took the records, null if the sender did not know it.
 * [tasksInFlight] is the number of tasks that [owner] had in flight at the time of the heartbeat.
 * [successionAgeMillis] is the time since [succeededBy] was named; the fact expires after the session lifetime.
 */
@Serializable
data class MemberFact(
    @SerialName("o")
    val owner: Owner,
    @SerialName("hb")
    val heartbeat: Long,
    @SerialName("cv")
    val configurationVersion: Long,
    @SerialName("dr")
    val draining: Boolean = false,
    @SerialName("by")
    val succeededBy: InstanceId? = null,
    @SerialName("byInc")
    val successorIncarnation: Long? = null,
    @SerialName("age")
    val successionAgeMillis: Long = 0,
    @SerialName("n")
    val tasksInFlight: Int = 0,
)

/** Gossiped state of a target; a fact replaces another only if (listVersion, sequence) is higher. */
@Serializable
data class TargetFact(
    val targetId: TargetId,
    val address: String,
    val listVersion: Long,
    val sequence: Long,
    val state: TargetFactState,
)

/** State of a target as one entry instance observed it. */
@Serializable
enum class TargetFactState {
    @SerialName("leaving")
    LEAVING,

    @SerialName("isolated")
    ISOLATED,

    @SerialName("recovered")
    RECOVERED,
}

/** A finished submission; [outcome] is null if it is no longer retained. */
@Serializable
data class HandedOverRecord(
    val scope: String,
    val submissionId: SubmissionId,
    val fingerprint: String,
    val outcome: Outcome?,
    val keepMillis: Long,
)
