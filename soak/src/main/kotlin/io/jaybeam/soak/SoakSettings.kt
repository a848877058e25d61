/*
 * What a run plays.
 */
package io.jaybeam.soak

import java.nio.file.Files
import java.nio.file.Path

/**
 * Settings of a run.
 *
 * @property root folder of the deploy file, in which entries are started.
 * @property jar jar of the entries, with its libraries beside it.
 * @property recordDirectory folder for the logs of the entries.
 */
public data class SoakSettings(
    val seed: Long,
    val seconds: Int,
    val entryCount: Int,
    val targetCount: Int,
    val root: Path,
    val jar: Path,
    val recordDirectory: Path,
)

/** Returns the nearest folder above the working directory that has a deploy file, or null. */
public fun repositoryRootOrNull(): Path? =
    generateSequence(Path.of("").toAbsolutePath()) { it.parent }.firstOrNull { Files.exists(it.resolve(DEPLOY_FILE)) }

internal const val DEPLOY_FILE = "deploy/system.toml"

/** Jar of the entries under the root, as the build leaves it. */
public const val ENTRY_JAR: String = "target/jaybeam/jaybeam.jar"
