package io.jaybeam.benchmark

/** Runs benchmarks. */
public fun main() {
    println("none")
}
