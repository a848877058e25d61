/*
 * In-memory stand-in for the platform's append-only log service.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Faults that the log injects.
 *
 * @property outage whether every call is refused with status 503.
 * @property slowMillis additional latency of each call.
 * @property loseAnswers number of upcoming appends that are stored but whose answer is lost.
 * @property retainRecords maximum number of records kept in each stream; older ones expire.
 */
@Serializable
internal data class LogFaults(
    val outage: Boolean = false,
    val slowMillis: Long = 0,
    val loseAnswers: Int = 0,
    val retainRecords: Int = Int.MAX_VALUE,
)

@Serializable
private data class LogPage(
    val firstOffset: Long,
    val startOffset: Long,
    val nextOffset: Long,
    val records: List<String>,
)

@Serializable
private data class LogPosition(
    val offset: Long,
)

private class Stream {
    val records = ArrayDeque<String>()
    var firstOffset = 0L
    val nextOffset: Long get() = firstOffset + records.size
}

private const val MAX_PAGE_RECORDS = 10_000

/** Stores streams in memory and serves appends and long-polling reads. */
internal class LogStandIn {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val streams = HashMap<String, Stream>()

    @Volatile
    private var faults = LogFaults()

    fun start(port: Int) {
        startStandInServer(port) {
            ApiBuilder.post("/control") { setFaults(it.bodyAsJson(LogFaults.serializer())) }
            ApiBuilder.post("/streams/{stream}") { withFaults(it) { append(it) } }
            ApiBuilder.get("/streams/{stream}") { withFaults(it) { readPage(it) } }
        }
    }

    private fun setFaults(newFaults: LogFaults) =
        lock.withLock {
            faults = newFaults
            streams.values.forEach(::dropExpired)
            changed.signalAll()
        }

    private fun withFaults(context: Context, action: () -> Unit) {
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (faults.outage) context.status(503) else action()
    }

    private fun append(context: Context) {
        var losesAnswer = false
        val offset =
            lock.withLock {
                val stream = streams.getOrPut(context.pathParam("stream")) { Stream() }
                stream.records.addLast(context.body())
                val offset = stream.nextOffset - 1
                dropExpired(stream)
                losesAnswer = faults.loseAnswers > 0
                if (losesAnswer) faults = faults.copy(loseAnswers = faults.loseAnswers - 1)
                changed.signalAll()
                offset
            }
        if (losesAnswer) context.closeConnection() else context.respondJson(LogPosition.serializer(), LogPosition(offset))
    }

    private fun readPage(context: Context) {
        val from = context.queryParam("from")?.toLong() ?: 0
        val waitMillis = context.queryParam("waitMillis")?.toLong() ?: 0
        val result =
            lock.withLock {
                val stream = streams.getOrPut(context.pathParam("stream")) { Stream() }
                var waitNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis)
                while (stream.nextOffset <= from && waitNanos > 0 && !faults.outage) waitNanos = changed.awaitNanos(waitNanos)
                val start = from.coerceIn(stream.firstOffset, stream.nextOffset)
                val skipCount = (start - stream.firstOffset).toInt()
                LogPage(
                    stream.firstOffset,
                    start,
                    stream.nextOffset,
                    stream.records
                        .asSequence()
                        .drop(skipCount)
                        .take(MAX_PAGE_RECORDS)
                        .toList(),
                )
            }
        if (faults.outage) context.status(503) else context.respondJson(LogPage.serializer(), result)
    }

    private fun dropExpired(stream: Stream) {
        while (stream.records.size > faults.retainRecords) {
            stream.records.removeFirst()
            stream.firstOffset += 1
        }
    }
}
