package io.jackdawring.cli

/** Entry point of the one binary. */
fun main(args: Array<String>) {
    println("jackdawring ${args.joinToString(" ")}")
}
