/*
 * Text of an explanation for a terminal.
 */
package io.jaybeam.entry.operator

import io.jaybeam.entry.direct.GroupExplanation
import io.jaybeam.entry.direct.RequestExplanation
import io.jaybeam.entry.direct.ServiceExplanation
import io.jaybeam.entry.direct.TargetExplanation
import java.util.Locale

private const val MAX_TARGETS = 10
private const val PERCENT = 100

/** Returns the lines in which [explanation] is printed. */
internal fun explanationLines(explanation: RequestExplanation): List<String> =
    listOf(
        "route ${explanation.route}, organisation ${explanation.organisation ?: "none"}, urgency ${explanation.urgency}",
        "as seen by ${explanation.instance}: configuration ${explanation.configVersion}, targets ${explanation.targetsAgeMillis} ms old",
    ) + explanation.services.flatMap(::linesOf)

private fun linesOf(service: ServiceExplanation): List<String> =
    buildList {
        add("service ${service.service} (${percent(service.chance)}): ${service.decision}, ${service.reason}${waitText(service)}")
        val cost = service.cost
        add(
            if (cost == null) {
                "  cost: not known, counts as one request"
            } else {
                "  cost: reading ${number(cost.readMillis)} ms, ${number(cost.answerTokens)} tokens to write, " +
                    "${number(cost.memoryTokens)} tokens of memory, ${number(cost.relativeWork)} times the usual work"
            },
        )
        service.queue?.let {
            add(
                "  queue: ${it.waiting} wait, ${it.started} of this entry run, passes take " +
                    "${it.passMillis ?: "an unknown number of"} ms, first event ${it.firstEventMillis} ms after the start",
            )
        }
        service.groups.forEach { add(groupLine(it)) }
        service.targets.take(MAX_TARGETS).forEach { add(targetLine(it)) }
        addAll(summaryOf(service.targets.drop(MAX_TARGETS)))
    }

private fun waitText(service: ServiceExplanation) =
    service.waitMillis
        ?.takeIf { it > 0 }
        ?.let { ", expected in $it ms" }
        .orEmpty()

private fun groupLine(group: GroupExplanation): String {
    val state = if (group.isOpen) "open" else "closed"
    return "  group ${group.group}: ${percent(group.chance)}, $state, ${group.ranks} ranks, passes of ${group.passMillis} ms, " +
        "${group.requests ?: "an unknown number of"} requests"
}

private fun targetLine(target: TargetExplanation): String {
    val millis = target.expectedMillis?.let { ", ${number(it)} ms expected" }.orEmpty()
    val source = if (target.hasReport) "reported" else "of this entry"
    val slowness = if (target.slowness > 1.0) ", ${number(target.slowness)} times as slow as usual" else ""
    val reason = target.ruledOutBy?.let { ": $it" }.orEmpty()
    return "  target ${target.id} (${target.dataCentre}, ${target.address}): ${percent(target.chance)}$millis, " +
        "${target.requests} requests $source$slowness$reason"
}

private fun summaryOf(targets: List<TargetExplanation>): List<String> =
    targets
        .groupingBy { it.ruledOutBy ?: "considered, ${percent(it.chance)} each at most" }
        .eachCount()
        .map { (reason, count) -> "  $count more targets: $reason" }

private fun percent(share: Double) = "${number(share * PERCENT)}%"

private fun number(value: Double) = String.format(Locale.ROOT, "%.1f", value)
