/*
 * Recognises IP addresses, without a look-up of names.
 */
package io.jaybeam.core.fleet

import java.net.InetAddress
import java.net.UnknownHostException

private const val IPV4_BYTE = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)"
private val ipv4Pattern = Regex("$IPV4_BYTE(\\.$IPV4_BYTE){3}")
private val ipv6Pattern = Regex("\\[[0-9a-fA-F:.]{2,45}]")

/** Whether [text] is an IPv4 address, or an IPv6 address in brackets. */
public fun isIpAddress(text: String): Boolean = ipv4Pattern.matches(text) || (ipv6Pattern.matches(text) && isIpv6Literal(text))

/** A name cannot contain brackets, so the JDK parses the text and never looks it up. */
private fun isIpv6Literal(text: String): Boolean =
    try {
        InetAddress.getByName(text)
        true
    } catch (e: UnknownHostException) {
        false
    }
