package io.jackdawring.core.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Parses and validates service files; all errors are reported, not only the first. */
object ServiceFileParser {
    /** The service defined in [text]; [file] is the file name for error messages. */
    fun parse(
        file: String,
        text: String,
    ): Either<NonEmptyList<ServiceFileError>, ServiceDefinition> {
        val bytes = text.encodeToByteArray().size
        if (bytes > ServiceFileFormat.MAX_FILE_BYTES) {
            return fileError(file, "a size of $bytes bytes", "up to ${ServiceFileFormat.MAX_FILE_BYTES} bytes")
        }
        val element =
            try {
                Json.parseToJsonElement(text)
            } catch (e: SerializationException) {
                return fileError(file, "malformed JSON (${e.message?.lineSequence()?.first()})", "one JSON object")
            }
        if (element !is JsonObject) return fileError(file, "a JSON value that is not an object", "one JSON object")
        val errors = ArrayList<ServiceFileError>()
        val service = service(JsonObjectReader(file, "", element, ServiceFileFormat.SERVICE_KEYS, errors))
        errors += repeatedKinds(file, service)
        return errors.toNonEmptyListOrNull()?.left() ?: service.right()
    }

    /** Checks the services of all files, given by file name, for contradictions between files. */
    fun validateTogether(
        services: Map<String, ServiceDefinition>,
    ): Either<NonEmptyList<ServiceFileError>, List<ServiceDefinition>> {
        val errors = repeatedServices(services) + inconsistentTeams(services)
        return errors.toNonEmptyListOrNull()?.left() ?: services.values.toList().right()
    }

    private fun fileError(
        file: String,
        value: String,
        allowed: String,
    ) = nonEmptyListOf(ServiceFileError(file, "file", value, allowed)).left()

    private fun service(reader: JsonObjectReader) =
        ServiceDefinition(
            service = reader.name("service"),
            team = reader.name("team"),
            weight = reader.integer("weight", ServiceFileFormat.WEIGHT, default = 1).toInt(),
            quotaTasks = reader.integer("quotaTasks", ServiceFileFormat.QUOTA_TASKS, default = 100_000).toInt(),
            kinds = reader.objects("kinds", ServiceFileFormat.MAX_KINDS, ServiceFileFormat.KIND_KEYS, ::kind),
        )

    private fun kind(reader: JsonObjectReader) =
        KindDefinition(
            name = reader.name("name"),
            priority = reader.integer("priority", ServiceFileFormat.PRIORITY).toInt(),
            idempotent = reader.boolean("idempotent", default = false),
            expectedMillis = reader.integer("expectedMillis", ServiceFileFormat.EXPECTED_MILLIS, default = 200),
            objective = reader.objectOrNull("objective", ServiceFileFormat.OBJECTIVE_KEYS, ::objective),
        )

    private fun objective(reader: JsonObjectReader) =
        Objective(
            latencyMillis = reader.integer("latencyMillis", ServiceFileFormat.LATENCY_MILLIS),
            percent = reader.decimal("percent", ServiceFileFormat.PERCENT),
        )

    private fun repeatedKinds(
        file: String,
        service: ServiceDefinition,
    ): List<ServiceFileError> =
        service.kinds.withIndex().groupBy { it.value.name }.filterKeys { it.isNotEmpty() }.values.flatMap { same ->
            same.drop(1).map { (index, kind) ->
                val allowed = "a name that differs from kinds[${same[0].index}].name"
                ServiceFileError(file, "kinds[$index].name", "\"${kind.name}\"", allowed)
            }
        }

    private fun repeatedServices(services: Map<String, ServiceDefinition>): List<ServiceFileError> =
        services.entries.groupBy { it.value.service }.values.flatMap { same ->
            same.drop(1).map { (file, service) ->
                val allowed = "a service that ${same[0].key} does not define already"
                ServiceFileError(file, "service", "\"${service.service}\"", allowed)
            }
        }

    /** A team has one weight, which all its files must state; its quota is the sum over its services. */
    private fun inconsistentTeams(services: Map<String, ServiceDefinition>): List<ServiceFileError> =
        services.entries.groupBy { it.value.team }.flatMap { (team, ofTeam) ->
            val (firstFile, first) = ofTeam[0]
            val otherWeights = ofTeam.filter { it.value.weight != first.weight }
            val weightErrors =
                otherWeights.map { (file, service) ->
                    val allowed = "${first.weight}, as $firstFile states it for team $team"
                    ServiceFileError(file, "weight", "${service.weight}", allowed)
                }
            weightErrors + listOfNotNull(excessiveQuota(team, ofTeam))
        }

    private fun excessiveQuota(
        team: String,
        ofTeam: List<Map.Entry<String, ServiceDefinition>>,
    ): ServiceFileError? {
        val sum = ofTeam.sumOf { it.value.quotaTasks.toLong() }
        val max = ServiceFileFormat.QUOTA_TASKS.last
        if (sum <= max) return null
        val allowed = "a sum of up to $max over the services of team $team"
        return ServiceFileError(ofTeam.last().key, "quotaTasks", "a sum of $sum", allowed)
    }
}
