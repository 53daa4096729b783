/** Sockets, disk access and threads. The only layer whose code may block. */
package org.basilrill.transport;
