/*
 * Ids by which clients recognise the answers to their requests.
 *
 * A server may send an answer a second time when the next request has arrived. The id of a request tells its answers from those to other
 * requests, but not from those to an earlier sending of the same request. So a connection carries each id once.
 */
package io.jaybeam.runtime.http

// A second answer comes in place of the next one, so a connection on which that happens is closed long before as many requests.
private const val REMEMBERED_IDS = 64

/**
 * The id of a request, which its answers repeat. As a tag of a request, it keeps the request from being sent over a connection that
 * carried the same id before.
 */
public data class RequestId(
    internal val text: String,
)

/** Remembers the last [REMEMBERED_IDS] ids, by their hashes. Not thread-safe. */
internal class RecentRequestIds {
    private var hashes = IntArray(0)
    private var addedCount = 0

    /** Adds [id]; returns false if it may have been added before. Two ids with equal hashes count as one. */
    fun add(id: RequestId): Boolean {
        val hash = id.text.hashCode()
        if (hashes.contains(hash)) return false
        if (addedCount < REMEMBERED_IDS) hashes = hashes.copyOf(addedCount + 1)
        hashes[addedCount % REMEMBERED_IDS] = hash
        addedCount += 1
        return true
    }
}
