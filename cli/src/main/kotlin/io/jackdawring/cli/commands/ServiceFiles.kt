package io.jackdawring.cli.commands

import io.jackdawring.cli.UsageException
import io.jackdawring.core.configuration.ServiceDefinition
import io.jackdawring.core.configuration.ServiceFileParser
import java.io.File

/** Service files of one command line; [errors] is empty if they are valid together. */
internal class ServiceFiles(
    val services: Map<String, ServiceDefinition>,
    val errors: List<String>,
) {
    companion object {
        /** Reads [paths]; a directory stands for all files named `*.service.json` in it and below. */
        fun read(paths: List<String>): ServiceFiles {
            if (paths.isEmpty()) throw UsageException("at least one file or directory is required")
            val services = LinkedHashMap<String, ServiceDefinition>()
            val errors = ArrayList<String>()
            paths.flatMap(::files).distinct().forEach { file ->
                ServiceFileParser.parse(file.path, file.readText()).fold(
                    { found -> errors += found.map { it.toString() } },
                    { services[file.path] = it },
                )
            }
            ServiceFileParser.validateTogether(services).onLeft { found -> errors += found.map { it.toString() } }
            return ServiceFiles(services, errors)
        }

        private fun files(path: String): List<File> {
            val file = File(path)
            if (file.isFile && file.canRead()) return listOf(file)
            if (!file.isDirectory) throw UsageException("'$path' is not a readable file or directory")
            val found =
                file
                    .walkTopDown()
                    .filter { it.isFile && it.name.endsWith(SUFFIX) }
                    .sorted()
                    .toList()
            if (found.isEmpty()) throw UsageException("'$path' contains no file named *$SUFFIX")
            return found
        }

        private const val SUFFIX = ".service.json"
    }
}
