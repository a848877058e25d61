/*
 * Which targets an entry knows: follows the instance list, holds a link to a bounded subset of targets for
 * each service, and opens lost links again.
 */
package io.jaybeam.entry.targets

import io.jaybeam.core.config.EffectiveConfig
import io.jaybeam.core.routing.TargetSnapshot
import io.jaybeam.core.routing.subsetFor
import io.jaybeam.core.ticket.TargetIncarnation
import io.jaybeam.runtime.instances.InstanceList
import io.jaybeam.runtime.instances.InstanceListClient
import io.jaybeam.runtime.instances.InstanceListResult
import io.jaybeam.runtime.instances.InstancePhase
import io.jaybeam.runtime.instances.InstanceRole
import io.jaybeam.runtime.instances.ListedInstance
import io.jaybeam.runtime.observe.EventLog
import io.jaybeam.runtime.observe.LogEvent
import io.jaybeam.runtime.observe.LogField
import io.jaybeam.wire.Frame
import io.jaybeam.wire.Link
import io.jaybeam.wire.LinkRuntime
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

private const val REFRESH_MILLIS = 250L
private const val REFRESHES_PER_READ = 4
private const val LINK_POLL_MILLIS = 20L

/** Keeps the channels of one entry. */
internal class TargetDirectory(
    private val owner: String,
    private val targetsPerService: Int,
    private val list: InstanceListClient,
    private val runtime: LinkRuntime,
    private val listener: ChannelListener,
    private val events: EventLog,
    private val hello: () -> Frame.Hello,
) : AutoCloseable {
    private val channels = ConcurrentHashMap<String, TargetChannel>()

    @Volatile
    private var running = true

    @Volatile
    private var listRead = false

    /**
     * Whether the list has been read and every target on it has been reached or failed to be once.
     *
     * Stays true once it is: an entry that loses its targets later is still the one to answer its callers.
     */
    @Volatile
    var isSettled = false
        private set

    private var listReachable = true
    private var refreshes = 0

    /** Starts to follow the list. */
    fun start() {
        thread(name = "directory", isDaemon = true) {
            while (running) {
                runCatching(::refresh).onFailure {
                    events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", "directory"), LogField("detail", it.toString()))
                }
                Thread.sleep(REFRESH_MILLIS)
            }
        }
    }

    /** Returns the targets of [service] that may be given new work. */
    fun candidates(service: String, config: EffectiveConfig): List<TargetSnapshot> =
        channels.values
            .filter { it.listed.service == service && it.listed.phase == InstancePhase.LIVE }
            .filter { config.isInService(it.listed.dataCentre, it.listed.instance) }
            .mapNotNull { it.viewOrNull() }

    /** Waits up to [timeoutMillis] while no target of [service] is linked, as after this entry was frozen. */
    fun awaitAnyLink(service: String, timeoutMillis: Long) {
        val untilNanos = System.nanoTime() + timeoutMillis * 1_000_000
        while (!anyLink(service) && System.nanoTime() < untilNanos) Thread.sleep(LINK_POLL_MILLIS)
    }

    private fun anyLink(service: String): Boolean {
        val ofService = channels.values.filter { it.listed.service == service }
        return ofService.isEmpty() || ofService.any { it.isUp }
    }

    /** Returns the channel to the instance of [identity], or null if it is not listed here. */
    fun channelOf(identity: TargetIncarnation): TargetChannel? = channels[identity.instance]

    /** All channels, for the dump. */
    fun all(): List<TargetChannel> = channels.values.sortedBy { it.listed.instance }

    /** Sends [frame] on every open link. */
    fun broadcast(frame: Frame) {
        channels.values.forEach { it.send(frame) }
    }

    override fun close() {
        running = false
        channels.values.forEach { it.disconnect("the entry stops") }
    }

    private fun refresh() {
        if (refreshes++ % REFRESHES_PER_READ == 0) readList()
        dropGone()
        channels.values.filter { !it.isUp && !it.connecting }.forEach(::connect)
        isSettled = isSettled || (listRead && channels.values.all { it.wasTried })
    }

    private fun readList() {
        val reading = list.read()
        when (reading) {
            is InstanceListResult.Changed -> follow(reading.list)
            is InstanceListResult.Unchanged -> Unit
            is InstanceListResult.Failed ->
                if (listReachable) {
                    events.write(
                        LogEvent.INSTANCE_LIST_UNREACHABLE,
                        LogField("detail", reading.message),
                    )
                }
        }
        listReachable = reading !is InstanceListResult.Failed
        listRead = listRead || listReachable
    }

    private fun follow(read: InstanceList) {
        val wanted = wanted(read)
        wanted.forEach { listed ->
            val channel = channels.getOrPut(listed.instance) { TargetChannel(listed, listener) }
            if (channel.listed.host != listed.host || channel.listed.port != listed.port) channel.disconnect("the instance moved")
            channel.listed = listed
        }
        val names = wanted.map { it.instance }.toSet()
        channels.values.filter { it.listed.instance !in names }.forEach { it.listed = it.listed.copy(phase = InstancePhase.LEAVING) }
    }

    /** Drops the channels of instances that left the list, once nothing is under way on them. */
    private fun dropGone() {
        val gone = channels.values.filter { it.listed.phase == InstancePhase.LEAVING && it.attemptCount == 0 && !it.isUp }
        gone.forEach { channels.remove(it.listed.instance) }
    }

    private fun wanted(read: InstanceList): List<ListedInstance> =
        read.instances
            .filter { it.role == InstanceRole.SIDE }
            .groupBy { it.service }
            .flatMap { (_, listed) ->
                val names = subsetFor(owner, listed.map { it.instance }, targetsPerService).toSet()
                listed.filter { it.instance in names }
            }

    private fun connect(channel: TargetChannel) {
        channel.connecting = true
        runtime.connect(
            host = channel.listed.host,
            port = channel.listed.port,
            handler = channel,
            onConnected = { link: Link ->
                channel.connected(link)
                link.send(hello())
            },
            onFailed = { channel.failedToConnect() },
        )
    }
}
