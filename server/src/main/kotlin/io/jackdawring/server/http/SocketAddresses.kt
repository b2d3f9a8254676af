package io.jackdawring.server.http

import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress

/** Parses `ip:port` or `[ipv6]:port`; null for anything else, so that no host name is resolved. */
internal fun parseSocketAddress(address: String): InetSocketAddress? {
    val colon = address.lastIndexOf(':')
    if (colon <= 0) return null
    val port = address.substring(colon + 1).toIntOrNull()?.takeIf { it in 0..65_535 } ?: return null
    val host = address.substring(0, colon).removeSurrounding("[", "]")
    val bytes = NetUtil.createByteArrayFromIpAddressString(host) ?: return null
    return InetSocketAddress(InetAddress.getByAddress(bytes), port)
}

/** Whether [address] has the form `ip:port` or `[ipv6]:port`, with a port to connect to. */
fun isSocketAddress(address: String): Boolean = parseSocketAddress(address).let { it != null && it.port > 0 }

/** Formats [address] as `ip:port` or `[ipv6]:port`. */
internal fun formatSocketAddress(address: InetSocketAddress): String = NetUtil.toSocketAddressString(address)
