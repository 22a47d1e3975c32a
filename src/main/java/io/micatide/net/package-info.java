/**
 * HTTP/1.1 over Netty: a server, a client with a small connection pool, and rate limiting. Knows nothing of what is sent.
 */
package io.micatide.net;
