/**
 * HTTP/1.1 over Netty: a server, a client with a small connection pool, and rate-limited clients of the store and of the cloud. The HTTP
 * classes do not depend on the content of requests.
 */
package io.micatide.net;
