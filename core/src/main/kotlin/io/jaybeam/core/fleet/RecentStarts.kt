/*
 * Requests that an entry has recently started at the groups of services, which a report that is older does not contain yet.
 */
package io.jaybeam.core.fleet

private const val MAX_STARTS = 4_096

/** Counts starts by group. Thread-safe; times are monotonic milliseconds. */
public class RecentStarts {
    private val startsByGroup = HashMap<GroupKey, ArrayDeque<Long>>()

    /** Records that a request starts at [group] at [nowMillis], or will once it has room. */
    public fun onStart(group: GroupKey, nowMillis: Long) {
        synchronized(startsByGroup) {
            startsByGroup.values.forEach { starts ->
                while (starts.isNotEmpty() && nowMillis - starts.first() > LOAD_TRUST_MILLIS) starts.removeFirst()
            }
            startsByGroup.values.removeIf { it.isEmpty() }
            startsByGroup.getOrPut(group) { ArrayDeque() }.let { if (it.size < MAX_STARTS) it.addLast(nowMillis) }
        }
    }

    /** Records that the last request that [onStart] counted at [group] does not start after all. */
    public fun onStartCancelled(group: GroupKey) {
        synchronized(startsByGroup) { startsByGroup[group]?.removeLastOrNull() }
    }

    /** Returns the number of starts at [group] from [sinceMillis] on. */
    public fun countSince(group: GroupKey, sinceMillis: Long): Int =
        synchronized(startsByGroup) { startsByGroup[group]?.count { it >= sinceMillis } ?: 0 }
}
