/*
 * How the end of a received answer is recognised.
 */
package io.jaybeam.runtime.http

import okhttp3.Response

/**
 * Whether the body of this answer has neither a length nor chunks, so that it ends with its connection.
 *
 * Such an answer is complete only if the connection ends regularly. A reset is reported once, to the first system call on the
 * connection: if that was a failed write of the request, the body seems to end regularly.
 */
public val Response.endsWithConnection: Boolean
    get() = body.contentLength() < 0 && !header("Transfer-Encoding").equals("chunked", ignoreCase = true)
