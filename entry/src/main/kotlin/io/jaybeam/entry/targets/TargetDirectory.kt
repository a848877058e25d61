/*
 * The targets of an entry, read from the instance list. The directory keeps links to a bounded subset of the targets of
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

private const val REFRESH_INTERVAL_MILLIS = 250L
private const val REFRESHES_PER_LIST_READ = 4
private const val LINK_POLL_INTERVAL_MILLIS = 20L

// Links are opened again within two intervals of the refresh unless their sides are frozen.
private const val OTHER_LINKS_TIMEOUT_MILLIS = 600L

/**
 * Maintains the channels of one entry to its targets.
 *
 * @property owner name of the entry's instance, which determines the subset of targets.
 * @property targetsPerService maximum number of targets of each service to which links are kept.
 */
internal class TargetDirectory(
    private val owner: String,
    private val targetsPerService: Int,
    private val listClient: InstanceListClient,
    private val linkRuntime: LinkRuntime,
    private val listener: ChannelListener,
    private val events: EventLog,
    private val newHello: () -> Frame.Hello,
) : AutoCloseable {
    private val channels = ConcurrentHashMap<String, TargetChannel>()

    @Volatile
    private var isRunning = true

    @Volatile
    private var hasReadList = false

    /**
     * Whether the list has been read, and each selected target on it has reported its load or could not be reached.
     *
     * Stays true from then on, because an entry that loses its targets later still has to answer its callers.
     */
    @Volatile
    var hasSynced = false
        private set

    private var isListReachable = true
    private var refreshCount = 0

    /** Starts the thread that reads the list and maintains the links. */
    fun start() {
        thread(name = "directory", isDaemon = true) {
            while (isRunning) {
                runCatching(::refresh).onFailure {
                    events.write(LogEvent.UNEXPECTED_FAILURE, LogField("duty", "directory"), LogField("detail", it.toString()))
                }
                Thread.sleep(REFRESH_INTERVAL_MILLIS)
            }
        }
    }

    /** Returns the targets of [service] that accept new work and are in service according to [config]. */
    fun candidates(service: String, config: EffectiveConfig): List<TargetSnapshot> =
        channels.values
            .filter { it.listed.service == service && it.listed.phase == InstancePhase.LIVE }
            .filter { config.isInService(it.listed.dataCentre, it.listed.instance) }
            .mapNotNull { it.snapshotOrNull() }

    /**
     * Waits up to [timeoutMillis] until a link to a target of [service] is established. If there was none, the other links that
     * were lost are waited for too, for a short time: the first one may be to a target that is out of service meanwhile.
     *
     * All links may be lost after the entry's process was frozen. Returns at once if no target of the service is selected.
     */
    fun awaitAnyLink(service: String, timeoutMillis: Long) {
        if (hasAnyLink(service)) return
        await(timeoutMillis) { hasAnyLink(service) }
        await(minOf(timeoutMillis, OTHER_LINKS_TIMEOUT_MILLIS)) { channelsOf(service).none { it.isRestoring } }
    }

    private fun await(timeoutMillis: Long, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000
        while (!condition() && System.nanoTime() < deadlineNanos) Thread.sleep(LINK_POLL_INTERVAL_MILLIS)
    }

    private fun channelsOf(service: String) = channels.values.filter { it.listed.service == service }

    private fun hasAnyLink(service: String): Boolean {
        val serviceChannels = channelsOf(service)
        return serviceChannels.isEmpty() || serviceChannels.any { it.isUp }
    }

    /** Returns the channel to the instance of [identity], or null if there is none. */
    fun channelOf(identity: TargetIncarnation): TargetChannel? = channels[identity.instance]

    /** Returns all channels, sorted by the names of their instances. */
    fun allChannels(): List<TargetChannel> = channels.values.sortedBy { it.listed.instance }

    /** Sends [frame] on each established link. */
    fun broadcast(frame: Frame) {
        channels.values.forEach { it.send(frame) }
    }

    override fun close() {
        isRunning = false
        channels.values.forEach { it.disconnect("the entry is stopping") }
    }

    private fun refresh() {
        if (refreshCount++ % REFRESHES_PER_LIST_READ == 0) readList()
        removeDrained()
        channels.values.filter { !it.isUp && !it.isConnecting }.forEach(::connect)
        hasSynced = hasSynced || (hasReadList && channels.values.all { it.hasBeenTried })
    }

    private fun readList() {
        val result = listClient.read()
        when (result) {
            is InstanceListResult.Changed -> applyList(result.list)
            is InstanceListResult.Unchanged -> Unit
            is InstanceListResult.Failed ->
                if (isListReachable) {
                    events.write(
                        LogEvent.INSTANCE_LIST_UNREACHABLE,
                        LogField("detail", result.message),
                    )
                }
        }
        isListReachable = result !is InstanceListResult.Failed
        hasReadList = hasReadList || isListReachable
    }

    private fun applyList(list: InstanceList) {
        val selected = selectInstances(list)
        selected.forEach { listed ->
            val channel = channels.getOrPut(listed.instance) { TargetChannel(listed, listener) }
            if (channel.listed.host != listed.host || channel.listed.port != listed.port) channel.disconnect("its address changed")
            channel.listed = listed
        }
        val names = selected.map { it.instance }.toSet()
        channels.values.filter { it.listed.instance !in names }.forEach { it.listed = it.listed.copy(phase = InstancePhase.LEAVING) }
    }

    /** Removes the channels of draining and unlisted instances that have no link and no attempt in progress. */
    private fun removeDrained() {
        val drained = channels.values.filter { it.listed.phase == InstancePhase.LEAVING && it.attemptCount == 0 && !it.isUp }
        drained.forEach { channels.remove(it.listed.instance) }
    }

    private fun selectInstances(list: InstanceList): List<ListedInstance> =
        list.instances
            .filter { it.role == InstanceRole.SIDE }
            .groupBy { it.service }
            .flatMap { (_, listed) ->
                val names = subsetFor(owner, listed.map { it.instance }, targetsPerService).toSet()
                listed.filter { it.instance in names }
            }

    private fun connect(channel: TargetChannel) {
        channel.isConnecting = true
        linkRuntime.connect(
            host = channel.listed.host,
            port = channel.listed.port,
            handler = channel,
            onConnected = { link: Link ->
                channel.onConnected(link)
                link.send(newHello())
            },
            onFailed = { channel.onConnectFailed() },
        )
    }
}
