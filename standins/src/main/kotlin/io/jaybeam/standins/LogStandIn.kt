/*
 * Stand-in for the platform's append-only log service.
 */
package io.jaybeam.standins

import io.javalin.apibuilder.ApiBuilder
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Faults of the log.
 *
 * @property outage every call is refused.
 * @property slowMillis each call takes this much longer.
 * @property loseAnswers how many of the next appends take effect with their answer lost.
 * @property retainRecords records kept in each stream.
 */
@Serializable
internal data class LogFaults(
    val outage: Boolean = false,
    val slowMillis: Long = 0,
    val loseAnswers: Int = 0,
    val retainRecords: Int = Int.MAX_VALUE,
)

@Serializable
private data class Page(
    val firstOffset: Long,
    val startOffset: Long,
    val nextOffset: Long,
    val records: List<String>,
)

@Serializable
private data class Position(
    val offset: Long,
)

private class Stream {
    val records = ArrayDeque<String>()
    var firstOffset = 0L
    val nextOffset: Long get() = firstOffset + records.size
}

private const val MAX_PAGE = 10_000

/** Keeps streams in memory. */
internal class LogStandIn {
    private val lock = ReentrantLock()
    private val appended = lock.newCondition()
    private val streams = HashMap<String, Stream>()

    @Volatile
    private var faults = LogFaults()

    fun start(port: Int) {
        serveStandIn(port) {
            ApiBuilder.post("/control") { setFaults(it.read(LogFaults.serializer())) }
            ApiBuilder.post("/streams/{stream}") { faulty(it) { append(it) } }
            ApiBuilder.get("/streams/{stream}") { faulty(it) { page(it) } }
        }
    }

    private fun setFaults(next: LogFaults) =
        lock.withLock {
            faults = next
            streams.values.forEach(::expire)
            appended.signalAll()
        }

    private fun faulty(context: Context, action: () -> Unit) {
        if (faults.slowMillis > 0) Thread.sleep(faults.slowMillis)
        if (faults.outage) context.status(503) else action()
    }

    private fun append(context: Context) {
        var lose = false
        val offset =
            lock.withLock {
                val stream = streams.getOrPut(context.pathParam("stream")) { Stream() }
                stream.records.addLast(context.body())
                val offset = stream.nextOffset - 1
                expire(stream)
                lose = faults.loseAnswers > 0
                if (lose) faults = faults.copy(loseAnswers = faults.loseAnswers - 1)
                appended.signalAll()
                offset
            }
        if (lose) context.cutConnection() else context.answer(Position.serializer(), Position(offset))
    }

    private fun page(context: Context) {
        val from = context.queryParam("from")?.toLong() ?: 0
        val waitMillis = context.queryParam("waitMillis")?.toLong() ?: 0
        val page =
            lock.withLock {
                val stream = streams.getOrPut(context.pathParam("stream")) { Stream() }
                var leftNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis)
                while (stream.nextOffset <= from && leftNanos > 0 && !faults.outage) leftNanos = appended.awaitNanos(leftNanos)
                val start = from.coerceIn(stream.firstOffset, stream.nextOffset)
                val skip = (start - stream.firstOffset).toInt()
                Page(
                    stream.firstOffset,
                    start,
                    stream.nextOffset,
                    stream.records
                        .asSequence()
                        .drop(skip)
                        .take(MAX_PAGE)
                        .toList(),
                )
            }
        if (faults.outage) context.status(503) else context.answer(Page.serializer(), page)
    }

    private fun expire(stream: Stream) {
        while (stream.records.size > faults.retainRecords) {
            stream.records.removeFirst()
            stream.firstOffset += 1
        }
    }
}
