/*
 * What a target sends in answer to one request.
 */
package io.jaybeam.soak

import java.net.Socket
import kotlin.random.Random

internal class TargetAnswer(
    private val connection: Socket,
    private val requestId: String,
    private val route: SoakRoute,
    private val random: Random,
    private val record: SoakRecord,
) {
    private val out = connection.getOutputStream()

    /** Sends the answer; returns whether the connection remains open. */
    fun send(behaviour: Behaviour): Boolean {
        if (random.nextInt(SLOW_ONE_IN) == 0) Thread.sleep(random.nextLong(SLOW_MILLIS))
        when (behaviour) {
            Behaviour.SOUND -> sendPieces(made(success()).bytes())
            Behaviour.SLOW -> sendSlowly(made(success()).bytes())
            Behaviour.ERROR -> sendPieces(made(failure(STATUS_ERROR)).bytes())
            Behaviour.NOT_RUN -> sendPieces(made(failure(STATUS_NOT_RUN)).bytes())
            Behaviour.ERROR_WITH_TWO_STATUS_LINES -> sendPieces(failure(STATUS_ERROR).bytesWithSecondStatusLine())
            Behaviour.SUCCESS_WITH_TWO_STATUS_LINES -> sendPieces(success().bytesWithSecondStatusLine())
            Behaviour.SECOND_ANSWER_AT_ONCE -> sendTwoAtOnce()
            Behaviour.SECOND_ANSWER_LATE -> sendSecondLate()
            Behaviour.HEAD_CUT -> made(success()).let { sendPieces(it.bytes().copyOf(random.nextInt(1, it.headSize()))) }
            Behaviour.BODY_CUT -> sendCutBody()
            Behaviour.BODY_JOINED -> sendJoinedBody()
            Behaviour.HANG -> Thread.sleep(HANG_MILLIS)
            Behaviour.CLOSE -> Unit
            Behaviour.RESET -> connection.setSoLinger(true, 0)
        }
        return behaviour !in ends
    }

    private fun made(answer: Answer) = answer.also { record.onAnswerMade(it) }

    private fun success() =
        Answer(requestId, STATUS_OK, drawBody(random, route == SoakRoute.STREAMING), isStream = route == SoakRoute.STREAMING)

    private fun failure(status: Int) = Answer(requestId, status, random.nextBytes(random.nextInt(FAILURE_BODY_BYTES)))

    /** The second answer, or the first bytes of it, is in one packet with the end of the first. */
    private fun sendTwoAtOnce() {
        val first = made(success()).bytes()
        val second = secondAnswer()
        val extra = if (random.nextBoolean()) second else second.copyOf(random.nextInt(1, second.size))
        val cut = random.nextInt(first.size)
        sendPieces(first.copyOf(cut))
        out.write(first.copyOfRange(cut, first.size) + extra)
    }

    private fun sendSecondLate() {
        sendPieces(made(success()).bytes())
        Thread.sleep(random.nextLong(LATE_MILLIS))
        sendPieces(secondAnswer())
    }

    /** An answer to the same request that is not the one of the target, so that no caller may get it. */
    private fun secondAnswer() = (if (random.nextBoolean()) success() else failure(STATUS_ERROR)).bytes()

    private fun sendCutBody() {
        val answer = made(success())
        sendPieces(answer.bytes().let { it.copyOf(random.nextInt(answer.headSize(), it.size + 1) - 1) })
    }

    private fun sendJoinedBody() {
        val answer = made(success())
        val cut = answer.bytes().let { it.copyOf(random.nextInt(answer.headSize(), it.size + 1) - 1) }
        out.write(cut + secondAnswer())
    }

    private fun sendSlowly(bytes: ByteArray) {
        val cut = random.nextInt(bytes.size)
        sendPieces(bytes.copyOf(cut))
        Thread.sleep(random.nextLong(PART_MILLIS))
        sendPieces(bytes.copyOfRange(cut, bytes.size))
    }

    private fun sendPieces(bytes: ByteArray) {
        val maxPieceBytes = if (bytes.size > LONG_ANSWER_BYTES) LONG_PIECE_BYTES else SHORT_PIECE_BYTES
        var sent = 0
        while (sent < bytes.size) {
            val size = minOf(random.nextInt(1, maxPieceBytes), bytes.size - sent)
            out.write(bytes, sent, size)
            sent += size
            if (random.nextInt(PAUSE_ONE_IN) == 0) Thread.sleep(1)
        }
    }
}

private val ends = setOf(Behaviour.HEAD_CUT, Behaviour.BODY_CUT, Behaviour.HANG, Behaviour.CLOSE, Behaviour.RESET)
private const val SLOW_ONE_IN = 10
private const val SLOW_MILLIS = 60L
private const val PART_MILLIS = 1_200L
private const val HANG_MILLIS = 3_000L
private const val LATE_MILLIS = 200L
private const val FAILURE_BODY_BYTES = 200
private const val LONG_ANSWER_BYTES = 4_000
private const val LONG_PIECE_BYTES = 16_000
private const val SHORT_PIECE_BYTES = 400
private const val PAUSE_ONE_IN = 6
