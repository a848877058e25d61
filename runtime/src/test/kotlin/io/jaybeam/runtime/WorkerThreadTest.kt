package io.jaybeam.runtime

import io.jaybeam.runtime.observe.EventLog
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Clock

internal class WorkerThreadTest {
    @Test
    fun `messages are handled after one that threw an error`() {
        val handled = CountDownLatch(1)
        val onMessage: (Throwable?) -> Unit = { failure -> if (failure == null) handled.countDown() else throw failure }
        val worker = WorkerThread<Message>("test", 8, 10, EventLog("test", Clock.System), { onMessage(it.failure) }) {}
        worker.use {
            it.start()
            listOf(IllegalStateException("test"), StackOverflowError(), OutOfMemoryError("test"), null).forEach { failure ->
                it.put(Message(failure))
            }
            assertTrue(handled.await(2, TimeUnit.SECONDS), "the thread has ended")
        }
    }

    private class Message(
        val failure: Throwable?,
    )
}
