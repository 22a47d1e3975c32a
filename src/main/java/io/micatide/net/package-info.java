/** HTTP/1.1 over Netty: a server, a client with a small pool, pacing. */
package io.micatide.net;
