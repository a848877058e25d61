/*
 * Which requests crash their targets. A request present at one crash is a suspect and runs alone; present at
 * two, it is quarantined. A suspect that completes alone is cleared.
 */
package io.jaybeam.core.quarantine

/** What is known of a request's fingerprint. */
public enum class Standing {
    /** Never present at a crash, or cleared since. */
    CLEAR,

    /** Present at one crash. */
    SUSPECT,

    /** Present at two crashes. */
    QUARANTINED,
}

/** Remembers crashes for [retentionMillis]. Thread-safe; times are monotonic milliseconds. */
public class CrashLedger(
    private val retentionMillis: Long,
    private val capacity: Int,
) {
    private data class Record(
        val crashIds: Set<String>,
        val lastAtMillis: Long,
    )

    private val records = LinkedHashMap<String, Record>()

    /** Notes that the requests with [fingerprints] were in flight at crash [crashId]; returns whether this was news. */
    @Synchronized
    public fun onCrash(crashId: String, fingerprints: Collection<String>, nowMillis: Long): Boolean {
        expire(nowMillis)
        val news = fingerprints.filter { crashId !in (records[it]?.crashIds ?: emptySet()) }
        news.forEach { fingerprint ->
            val crashIds = (records.remove(fingerprint)?.crashIds ?: emptySet()) + crashId
            records[fingerprint] = Record(crashIds, nowMillis)
        }
        while (records.size > capacity) records.remove(records.keys.first())
        return news.isNotEmpty()
    }

    /** Clears a suspect that completed. */
    @Synchronized
    public fun onCompleted(fingerprint: String) {
        if (records[fingerprint]?.crashIds?.size == 1) records.remove(fingerprint)
    }

    /** Returns the standing of [fingerprint]. */
    @Synchronized
    public fun standing(fingerprint: String, nowMillis: Long): Standing {
        expire(nowMillis)
        return when (records[fingerprint]?.crashIds?.size ?: 0) {
            0 -> Standing.CLEAR
            1 -> Standing.SUSPECT
            else -> Standing.QUARANTINED
        }
    }

    /** Returns the number of suspects and quarantined requests. */
    @Synchronized
    public fun size(): Int = records.size

    private fun expire(nowMillis: Long) {
        records.values.removeIf { nowMillis - it.lastAtMillis > retentionMillis }
    }
}
