/*
 * The routes on which callers send.
 */
package io.jaybeam.soak

/** A route on which callers send. */
internal enum class SoakRoute(
    val type: String,
    val prefix: String,
) {
    SAFE("safe", "/safe/"),
    UNSAFE("unsafe", "/unsafe/"),
    STREAMING("streaming", "/streaming/"),
}
