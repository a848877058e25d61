/*
 * Settings of an entry instance. docs/SETTINGS.md is the reference.
 */
package io.jaybeam.entry

import io.jaybeam.core.json.JsonObjectReader
import io.jaybeam.runtime.settings.CommonSettings
import io.jaybeam.runtime.settings.MAX_PORT
import io.jaybeam.runtime.settings.commonSettings

/**
 * Settings of an entry instance.
 *
 * @property callerPort port of the callers' HTTP server.
 * @property snapshotIntervalMillis time after the last configuration snapshot at which this entry appends one.
 * @property keyWindowMillis maximum age of an idempotency key.
 * @property defaultDeadlineMillis deadline of calls whose caller sends none.
 * @property reattachMillis maximum time that a call waits for a lost link to a target to be open again.
 * @property drainGraceMillis minimum time for which a draining entry still serves calls.
 * @property targetsPerService maximum number of targets of each service to which the entry keeps links.
 * @property callerThreads maximum number of threads of the callers' HTTP server.
 */
internal data class EntrySettings(
    val common: CommonSettings,
    val callerPort: Int,
    val snapshotIntervalMillis: Long,
    val keyWindowMillis: Long,
    val defaultDeadlineMillis: Long,
    val reattachMillis: Long,
    val drainGraceMillis: Long,
    val targetsPerService: Int,
    val callerThreads: Int,
)

private const val MAX_TARGETS = 100_000
private const val MIN_CALLER_THREADS = 16
private const val MAX_CALLER_THREADS = 16_384
private const val DAY_MILLIS = 86_400_000L
private const val DEFAULT_SNAPSHOT_INTERVAL_MILLIS = 600_000L
private const val DEFAULT_KEY_WINDOW_MILLIS = 600_000L
private const val DEFAULT_DEADLINE_MILLIS = 120_000L
private const val DEFAULT_REATTACH_MILLIS = 3_000L
private const val DEFAULT_DRAIN_GRACE_MILLIS = 1_000L
private const val DEFAULT_TARGETS_PER_SERVICE = 64
private const val DEFAULT_CALLER_THREADS = 512

internal fun JsonObjectReader.entrySettings(): EntrySettings =
    EntrySettings(
        common = commonSettings(),
        callerPort = int("callerPort", 0..MAX_PORT),
        snapshotIntervalMillis = long("snapshotIntervalMillis", 1..DAY_MILLIS, DEFAULT_SNAPSHOT_INTERVAL_MILLIS),
        keyWindowMillis = long("keyWindowMillis", 1..DAY_MILLIS, DEFAULT_KEY_WINDOW_MILLIS),
        defaultDeadlineMillis = long("defaultDeadlineMillis", 1..DAY_MILLIS, DEFAULT_DEADLINE_MILLIS),
        reattachMillis = long("reattachMillis", 0..DAY_MILLIS, DEFAULT_REATTACH_MILLIS),
        drainGraceMillis = long("drainGraceMillis", 0..DAY_MILLIS, DEFAULT_DRAIN_GRACE_MILLIS),
        targetsPerService = int("targetsPerService", 1..MAX_TARGETS, DEFAULT_TARGETS_PER_SERVICE),
        callerThreads = int("callerThreads", MIN_CALLER_THREADS..MAX_CALLER_THREADS, DEFAULT_CALLER_THREADS),
    )
