/*
 * Result of a run.
 */
package io.jaybeam.soak

/**
 * What a run measured.
 *
 * @property figures one line of figures.
 * @property brokenRules the first case of each broken rule.
 */
public data class SoakResult(
    val figures: String,
    val brokenRules: List<BrokenRule>,
)
