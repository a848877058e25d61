/*
 * The relays through which a fleet's processes reach each other and the log, one for each pair of ends that a scenario
 * may cut.
 */
package io.jaybeam.scenarios

/** Data centre in which the log stands. */
internal const val LOG_DATA_CENTRE: String = "pdx"

/** Owns the relays of a fleet. */
internal class FleetRelays(
    private val entries: List<EntryInstance>,
    private val targets: List<TargetPair>,
    logPort: Int,
) : AutoCloseable {
    private data class Ends(
        val entryDataCentre: String,
        val instance: String,
    )

    private val entryDataCentres = entries.map { it.dataCentre }.distinct()
    private val toSide =
        entryDataCentres
            .flatMap { name -> targets.map { target -> Ends(name, target.instance) to FaultyRelay(target.linkPort) } }
            .toMap()
    private val toLog = (entries.map { it.instance } + targets.map { it.instance }).associateWith { FaultyRelay(logPort) }

    /** The relay from entries in [entryDataCentre] to the side of [target]. */
    fun toSide(entryDataCentre: String, target: TargetPair): FaultyRelay = toSide.getValue(Ends(entryDataCentre, target.instance))

    /** The relays from entries anywhere to the side of [target]. */
    fun toSide(target: TargetPair): List<FaultyRelay> = entryDataCentres.map { toSide(it, target) }

    /** The relay from the process on [instance] to the log. */
    fun toLog(instance: String): FaultyRelay = toLog.getValue(instance)

    /** The relays between data centres [first] and [second], in both directions. */
    fun between(first: String, second: String): List<FaultyRelay> =
        links(first, second) + links(second, first) + logLinks(first, second) + logLinks(second, first)

    override fun close() {
        (toSide.values + toLog.values).forEach { it.close() }
    }

    private fun links(entryDataCentre: String, sideDataCentre: String) =
        if (entryDataCentre !in entryDataCentres) {
            emptyList()
        } else {
            targets.filter { it.dataCentre == sideDataCentre }.map { toSide(entryDataCentre, it) }
        }

    private fun logLinks(logDataCentre: String, readerDataCentre: String): List<FaultyRelay> {
        if (logDataCentre != LOG_DATA_CENTRE) return emptyList()
        val readers = entries.filter { it.dataCentre == readerDataCentre }.map { it.instance }
        return (readers + targets.filter { it.dataCentre == readerDataCentre }.map { it.instance }).map(::toLog)
    }
}
