/**
 * A strict, incremental HTTP/1.1 codec for both ends of a connection (RFC 9110, RFC 9112), on
 * Grizzly's TCP transport. It does not depend on the platform.
 *
 * <p>Each transport has one thread that accepts, connects and reads. Any thread may write and
 * close.
 */
package milletyoke.http;
