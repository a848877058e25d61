/*
 * Tracks which requests were in flight when their target crashed. A request present at one crash is a suspect and runs alone;
 * a request present at two crashes is quarantined. A suspect that completes alone is cleared.
 */
package io.jaybeam.core.quarantine

/** Crash status of the requests with one fingerprint. */
public enum class CrashStatus {
    /** Present at no crash, or cleared since. */
    CLEAR,

    /** Present at one crash. */
    SUSPECT,

    /** Present at two crashes. */
    QUARANTINED,
}

/** Keeps crashes of up to [capacity] fingerprints for [retentionMillis]. Thread-safe; times are monotonic milliseconds. */
public class CrashTracker(
    private val retentionMillis: Long,
    private val capacity: Int,
) {
    private data class CrashRecord(
        val crashIds: Set<String>,
        val lastAtMillis: Long,
    )

    private val recordByFingerprint = LinkedHashMap<String, CrashRecord>()

    /** Records that requests with [fingerprints] were in flight at crash [crashId]; returns whether any was not yet recorded. */
    @Synchronized
    public fun onCrash(crashId: String, fingerprints: Collection<String>, nowMillis: Long): Boolean {
        expire(nowMillis)
        val unrecorded = fingerprints.filter { crashId !in (recordByFingerprint[it]?.crashIds ?: emptySet()) }
        unrecorded.forEach { fingerprint ->
            val crashIds = (recordByFingerprint.remove(fingerprint)?.crashIds ?: emptySet()) + crashId
            recordByFingerprint[fingerprint] = CrashRecord(crashIds, nowMillis)
        }
        while (recordByFingerprint.size > capacity) recordByFingerprint.remove(recordByFingerprint.keys.first())
        return unrecorded.isNotEmpty()
    }

    /** Clears the suspect with [fingerprint] after it has completed. */
    @Synchronized
    public fun onCompleted(fingerprint: String) {
        if (recordByFingerprint[fingerprint]?.crashIds?.size == 1) recordByFingerprint.remove(fingerprint)
    }

    /** Returns the crash status of [fingerprint]. */
    @Synchronized
    public fun status(fingerprint: String, nowMillis: Long): CrashStatus {
        expire(nowMillis)
        return when (recordByFingerprint[fingerprint]?.crashIds?.size ?: 0) {
            0 -> CrashStatus.CLEAR
            1 -> CrashStatus.SUSPECT
            else -> CrashStatus.QUARANTINED
        }
    }

    /** Returns the number of suspect and quarantined fingerprints. */
    @Synchronized
    public fun size(): Int = recordByFingerprint.size

    private fun expire(nowMillis: Long) {
        recordByFingerprint.values.removeIf { nowMillis - it.lastAtMillis > retentionMillis }
    }
}
